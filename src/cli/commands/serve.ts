/** `serve`: runs one instance until SIGTERM or SIGINT. */
import {readFileSync} from 'node:fs';
import {Command, Flags} from '@oclif/core';
import {createSystemClock} from '../../common/clock.js';
import {InvalidDocumentError} from '../../common/ini_document.js';
import {ListenError} from '../../common/listen.js';
import {createLog} from '../../common/log.js';
import {createMetrics} from '../../common/metrics.js';
import {startInstance} from '../../instance/instance.js';
import {parseSettings, type Settings} from '../../instance/settings.js';
import {createPlatform} from '../../stores/create_platform.js';
import {awaitInterrupt} from '../interrupts.js';
import {detectSettingsKind, type SettingsKind} from '../settings_kind.js';

const EXIT_SETTINGS = 2;
const EXIT_START = 1;

/** Runs an instance or a gateway; starts nothing if its settings are invalid. */
export class ServeCommand extends Command {
  static override summary = 'Run one instance';
  static override description =
    'Serves callers until SIGTERM or SIGINT, then shuts down without cutting off a request. A second signal ends it at once.';
  static override examples = [
    '<%= config.bin %> serve --settings examples/tongkang/entry-1.ini',
  ];
  static override flags = {
    settings: Flags.string({
      required: true,
      description: "the instance's settings, an INI file",
    }),
  };

  async run(): Promise<void> {
    const {flags} = await this.parse(ServeCommand);
    if (this.findKind(flags.settings) === 'gateway') {
      await this.serveGateway(flags.settings);
      return;
    }
    const settings = this.loadSettings(flags.settings);
    const clock = createSystemClock();
    const metrics = createMetrics();
    const log = createLog(settings.instance.name, settings.log.level);
    const platform = createPlatform(settings.platform, {clock, metrics});
    const instance = await startInstance({
      settings,
      platform,
      clock,
      log,
      metrics,
    }).catch((error: Error) => this.failStart(error));
    const signal = await awaitInterrupt();
    log.info({signal}, 'instance is draining');
    void awaitInterrupt().then(() => process.exit(EXIT_START));
    await instance.stop();
    await platform.close();
  }

  private findKind(file: string): SettingsKind {
    try {
      return detectSettingsKind(readFileSync(file, 'utf8'));
    } catch (error) {
      this.error((error as Error).message, {exit: EXIT_SETTINGS});
    }
  }

  /** Imported only for a gateway, because an instance needs little of its code. */
  private async serveGateway(file: string): Promise<void> {
    const {serveSite} = await import('../../../platform/serve_site.js');
    try {
      await serveSite(file);
    } catch (error) {
      if (error instanceof InvalidDocumentError) {
        this.error(error.message, {exit: EXIT_SETTINGS});
      }
      this.failStart(error as Error);
    }
  }

  private loadSettings(file: string): Settings {
    try {
      return parseSettings(readFileSync(file, 'utf8'), file);
    } catch (error) {
      const {message, code} = error as NodeJS.ErrnoException;
      if (!(error instanceof InvalidDocumentError) && !code) throw error;
      this.error(message, {exit: EXIT_SETTINGS});
    }
  }

  private failStart(error: Error): never {
    if (error instanceof ListenError) {
      this.error(`${error.message}; see [listen] in the settings`, {
        exit: EXIT_START,
      });
    }
    this.error(`the instance did not start: ${error.message}`, {
      exit: EXIT_START,
    });
  }
}
