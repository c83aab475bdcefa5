/**
 * `measure-capacity`: measures the cost of control traffic for an instance, and how it
 * grows with the fleet.
 */
import {Command} from '@oclif/core';
import {measureCapacity} from '../../tools/capacity/measure_capacity.js';

/** Starts other processes of this program on loopback and ends them again. */
export class MeasureCapacityCommand extends Command {
  static override summary =
    'Measure what control costs an instance as the fleet grows';
  static override examples = ['<%= config.bin %> measure-capacity'];

  async run(): Promise<void> {
    await this.parse(MeasureCapacityCommand);
    await measureCapacity(line => this.log(line));
  }
}
