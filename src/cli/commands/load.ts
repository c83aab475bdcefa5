/** `load`: runs 10 instance processes under load and faults, then ends. */
import {Command} from '@oclif/core';
import {runLoad} from '../../tools/load/run_load.js';

/** Starts other processes of this program on loopback and ends them again. */
export class LoadCommand extends Command {
  static override summary =
    'Measure ten instance processes under load and faults, in two minutes';
  static override examples = ['<%= config.bin %> load'];

  async run(): Promise<void> {
    await this.parse(LoadCommand);
    await runLoad(line => this.log(line));
  }
}
