/** `demo`: shows the main features on embedded stand-ins, then ends. */
import {Command} from '@oclif/core';
import {runDemo} from '../../tools/demo/run_demo.js';

/** Runs the demo and prints its results. */
export class DemoCommand extends Command {
  static override summary =
    'Show the main job on embedded stand-ins, within a minute';
  static override examples = ['<%= config.bin %> demo'];

  async run(): Promise<void> {
    await this.parse(DemoCommand);
    await runDemo(line => this.log(line));
  }
}
