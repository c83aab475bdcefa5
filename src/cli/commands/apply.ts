/** `apply`: stores a service document, which the instances then apply. */
import {readFileSync} from 'node:fs';
import {userInfo} from 'node:os';
import {Args, Command, Flags} from '@oclif/core';
import {InvalidDocumentError} from '../../common/ini_document.js';
import {
  applyServiceDocument,
  type ApplyOutcome,
} from '../../instance/configuration/apply_document.js';
import type {InstanceReport} from '../../instance/configuration/await_generation.js';
import {parseServiceDocument} from '../../instance/configuration/service_document.js';
import {EXIT_CODES} from '../exit_codes.js';
import {
  OPERATOR_FLAGS,
  reportInstances,
  runOperatorSession,
  WAIT_FLAGS,
} from '../operator_session.js';

/** Validates and stores a document; with `--wait`, waits for the instances. */
export class ApplyCommand extends Command {
  static override summary = 'Put a service document into force';
  static override description =
    'An invalid document changes nothing. The same document again changes nothing. Exit codes: 1 invalid, or no answer of the platform; 3 another operator was faster; 4 stored, but not yet on every instance.';
  static override examples = [
    '<%= config.bin %> apply drum-reader.ini --settings entry.ini --wait',
    '<%= config.bin %> apply drum-reader.ini --settings entry.ini --base 7',
  ];
  static override enableJsonFlag = true;
  static override args = {
    file: Args.string({required: true, description: 'the service document'}),
  };
  static override flags = {
    ...OPERATOR_FLAGS,
    ...WAIT_FLAGS,
    author: Flags.string({
      default: async () => userInfo().username,
      defaultHelp: 'your user name',
      description: 'whom the history names',
    }),
    base: Flags.integer({
      min: 0,
      description: 'the version that was edited; another one is a conflict',
    }),
    wait: Flags.boolean({
      description: 'wait until every live instance has it in force',
    }),
  };

  async run(): Promise<ApplyOutcome & {instances?: InstanceReport[]}> {
    const {args, flags} = await this.parse(ApplyCommand);
    const text = readFileSync(args.file, 'utf8');
    const service = this.checkDocument(text, args.file);
    return runOperatorSession(this, flags.settings, async session => {
      const outcome = await applyServiceDocument(
        session.platform.table,
        text,
        flags.author,
        {base: flags.base, wallNow: Date.now()},
      );
      this.printOutcome(service, outcome);
      if (outcome.kind === 'conflict' || !flags.wait) return outcome;
      const {generation} = outcome;
      const instances = await session.awaitInstances(
        {generation, service},
        flags.timeout,
      );
      reportInstances(this, instances);
      return {...outcome, instances};
    });
  }

  private checkDocument(text: string, file: string): string {
    try {
      return parseServiceDocument(text, file).service.name;
    } catch (error) {
      if (!(error instanceof InvalidDocumentError)) throw error;
      return this.error(error.message, {exit: EXIT_CODES.failure});
    }
  }

  private printOutcome(service: string, outcome: ApplyOutcome) {
    const {kind, version} = outcome;
    if (kind !== 'conflict') {
      this.log(`${service}: ${kind}, version ${version}`);
      return;
    }
    process.exitCode = EXIT_CODES.conflict;
    this.logToStderr(
      `${service}: not applied; version ${version} by ${outcome.author} is in force`,
    );
  }
}
