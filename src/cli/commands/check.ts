/** `check`: validates a file without starting anything. */
import {readFileSync} from 'node:fs';
import {Args, Command, Flags} from '@oclif/core';
import {InvalidDocumentError} from '../../common/ini_document.js';
import {parseServiceDocument} from '../../instance/configuration/service_document.js';
import {parseGatewaySettings} from '../../instance/gateway_settings.js';
import {parseSettings} from '../../instance/settings.js';
import {detectSettingsKind} from '../settings_kind.js';

const PARSERS: Record<string, (text: string, source: string) => unknown> = {
  settings: parseSettings,
  gateway: parseGatewaySettings,
  service: parseServiceDocument,
};

/** Validates an instance's settings or a service document. */
export class CheckCommand extends Command {
  static override summary =
    'Check settings or a service document without starting anything';
  static override examples = [
    '<%= config.bin %> check examples/tongkang/entry.ini',
    '<%= config.bin %> check --kind service drum-reader.ini',
  ];
  static override enableJsonFlag = true;
  static override args = {
    file: Args.string({required: true, description: 'the INI file'}),
  };
  static override flags = {
    kind: Flags.string({
      options: Object.keys(PARSERS),
      description: 'what the file is; told from its sections by default',
    }),
  };

  async run(): Promise<{valid: boolean; faults: readonly object[]}> {
    const {args, flags} = await this.parse(CheckCommand);
    const text = readFileSync(args.file, 'utf8');
    const kind = flags.kind ?? detectKind(text);
    try {
      PARSERS[kind](text, args.file);
    } catch (error) {
      if (!(error instanceof InvalidDocumentError)) throw error;
      if (!this.jsonEnabled()) this.error(error.message, {exit: 1});
      process.exitCode = 1;
      return {valid: false, faults: error.faults};
    }
    this.log(`${args.file}: valid ${kind}`);
    return {valid: true, faults: []};
  }
}

function detectKind(text: string): string {
  if (!/^\s*\[instance\]/m.test(text)) return 'service';
  return detectSettingsKind(text) === 'gateway' ? 'gateway' : 'settings';
}
