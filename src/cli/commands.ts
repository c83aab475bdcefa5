/** Maps each command id to its class. */
import type {Command} from '@oclif/core';
import {ApplyCommand} from './commands/apply.js';
import {CheckCommand} from './commands/check.js';
import {DemoCommand} from './commands/demo.js';
import {
  JobsCancelCommand,
  JobsListCommand,
  JobsOutputCommand,
  JobsShowCommand,
  JobsSubmitCommand,
} from './commands/jobs.js';
import {ExplainCommand} from './commands/explain.js';
import {LoadCommand} from './commands/load.js';
import {MeasureCapacityCommand} from './commands/measure_capacity.js';
import {ServeCommand} from './commands/serve.js';
import {
  KeyGiveCommand,
  KeyListCommand,
  KeyWithdrawCommand,
} from './commands/key.js';
import {
  ServicesHistoryCommand,
  ServicesListCommand,
  ServicesShowCommand,
} from './commands/services.js';
import {StandInEngineCommand} from './commands/stand_in_engine.js';
import {StandInPlatformCommand} from './commands/stand_in_platform.js';
import {StandInServiceCommand} from './commands/stand_in_service.js';
import {StateCommand} from './commands/state.js';

/** All commands. A colon in an id is a space on the command line. */
export const COMMANDS: Record<string, typeof Command> = {
  apply: ApplyCommand,
  check: CheckCommand,
  demo: DemoCommand,
  explain: ExplainCommand,
  'jobs:submit': JobsSubmitCommand,
  'jobs:list': JobsListCommand,
  'jobs:show': JobsShowCommand,
  'jobs:cancel': JobsCancelCommand,
  'jobs:output': JobsOutputCommand,
  load: LoadCommand,
  'measure-capacity': MeasureCapacityCommand,
  serve: ServeCommand,
  'key:give': KeyGiveCommand,
  'key:list': KeyListCommand,
  'key:withdraw': KeyWithdrawCommand,
  'services:history': ServicesHistoryCommand,
  'services:list': ServicesListCommand,
  'services:show': ServicesShowCommand,
  'stand-in:engine': StandInEngineCommand,
  'stand-in:platform': StandInPlatformCommand,
  'stand-in:service': StandInServiceCommand,
  state: StateCommand,
};
