/** The table of commands: command-line id to class. */
import type {Command} from '@oclif/core';
import {CheckCommand} from './commands/check.js';
import {DemoCommand} from './commands/demo.js';
import {LoadCommand} from './commands/load.js';
import {MeasureCapacityCommand} from './commands/measure_capacity.js';
import {ServeCommand} from './commands/serve.js';
import {StandInEngineCommand} from './commands/stand_in_engine.js';
import {StandInServiceCommand} from './commands/stand_in_service.js';
import {StateCommand} from './commands/state.js';

/** Every command; ids with a colon are typed with a space. */
export const COMMANDS: Record<string, typeof Command> = {
  check: CheckCommand,
  demo: DemoCommand,
  load: LoadCommand,
  'measure-capacity': MeasureCapacityCommand,
  serve: ServeCommand,
  'stand-in:engine': StandInEngineCommand,
  'stand-in:service': StandInServiceCommand,
  state: StateCommand,
};
