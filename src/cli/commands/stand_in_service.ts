/** `stand-in service`: a stand-in for a plain service, on loopback. */
import {Command, Flags} from '@oclif/core';
import {startServiceServer} from '../../stand_ins/service/service_server.js';
import {awaitInterrupt} from '../interrupts.js';

/** Runs until interrupted. */
export class StandInServiceCommand extends Command {
  static override summary = 'Run a plain service stand-in on loopback';
  static override examples = ['<%= config.bin %> stand-in service --port 9201'];
  static override flags = {
    port: Flags.integer({
      default: 0,
      min: 0,
      max: 65535,
      description: '0 takes a free port',
    }),
  };

  async run(): Promise<void> {
    const {flags} = await this.parse(StandInServiceCommand);
    const service = await startServiceServer(flags.port);
    this.log(`service stand-in at ${service.address}`);
    await awaitInterrupt();
    await service.stop();
  }
}
