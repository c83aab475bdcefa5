/** `stand-in platform`: table service, object store and instance list on loopback. */
import {Command, Flags} from '@oclif/core';
import {startPlatformServer} from '../../stand_ins/platform/platform_server.js';
import {awaitInterrupt} from '../interrupts.js';

/** Runs until interrupted. */
export class StandInPlatformCommand extends Command {
  static override summary = 'Run a platform stand-in on loopback';
  static override description =
    'Everything is in memory. Faults are set by POST /control/faults with JSON, such as {"down": true} or {"slowMs": 500}; instances are listed by PUT /control/instances/NAME.';
  static override examples = [
    '<%= config.bin %> stand-in platform --port 9100',
  ];
  static override flags = {
    port: Flags.integer({
      default: 0,
      min: 0,
      max: 65535,
      description: '0 takes a free port',
    }),
  };

  async run(): Promise<void> {
    const {flags} = await this.parse(StandInPlatformCommand);
    const server = await startPlatformServer({port: flags.port});
    this.log(`platform stand-in at ${server.address}; settings that reach it:`);
    this.log('[platform]');
    for (const [name, value] of Object.entries(server.settings)) {
      this.log(`${name} = ${value}`);
    }
    await awaitInterrupt();
    await server.close();
  }
}
