/** `explain`: what the instances logged of one request, item or bundle. */
import {readFileSync} from 'node:fs';
import {Args, Command, Flags} from '@oclif/core';
import {explainId} from '../explain_log.js';

const EXIT_UNKNOWN = 1;
const EXIT_USAGE = 2;

/** Prints the log records of an id from all given logs, ordered by time. */
export class ExplainCommand extends Command {
  static override summary =
    'Print what instances logged of a request, item or bundle, in order';
  static override description =
    'Give the log files of all instances; lines of the bundle an item belongs to are printed as well.';
  static override examples = [
    '<%= config.bin %> explain 9c41d07be2a35f68 --log entry-1.log --log entry-2.log',
  ];
  static override args = {
    id: Args.string({
      required: true,
      description: 'id of the request, item or bundle',
    }),
  };
  static override flags = {
    log: Flags.string({
      required: true,
      multiple: true,
      description: "an instance's log, one JSON object a line",
    }),
  };

  async run(): Promise<void> {
    const {args, flags} = await this.parse(ExplainCommand);
    const lines = flags.log.flatMap(file => this.loadLines(file));
    const explanation = explainId(lines, args.id);
    if (explanation.length === 0) {
      this.error(`no line of these logs names ${args.id}`, {
        exit: EXIT_UNKNOWN,
      });
    }
    for (const line of explanation) this.log(line);
  }

  private loadLines(file: string): string[] {
    try {
      return readFileSync(file, 'utf8').split('\n');
    } catch (error) {
      this.error((error as Error).message, {exit: EXIT_USAGE});
    }
  }
}
