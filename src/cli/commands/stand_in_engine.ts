/** `stand-in engine`: a stand-in for a model engine, on loopback. */
import {Command, Flags} from '@oclif/core';
import {startEngineServer} from '../../stand_ins/engine/engine_server.js';
import {awaitInterrupt} from '../interrupts.js';

/** Runs until interrupted. */
export class StandInEngineCommand extends Command {
  static override summary = 'Run a model engine stand-in on loopback';
  static override examples = [
    '<%= config.bin %> stand-in engine --port 9101 --tokens 32',
  ];
  static override flags = {
    port: Flags.integer({
      default: 0,
      min: 0,
      max: 65535,
      description: '0 takes a free port',
    }),
    tokens: Flags.integer({
      default: 16,
      min: 1,
      description: 'tokens of each answer',
    }),
    'first-token-ms': Flags.integer({
      default: 20,
      min: 0,
      description: 'time to the first token',
    }),
    'between-tokens-ms': Flags.integer({
      default: 5,
      min: 0,
      description: 'time between tokens',
    }),
    'ms-per-stream': Flags.integer({
      default: 0,
      min: 0,
      description: 'added to a step for each running stream',
    }),
  };

  async run(): Promise<void> {
    const {flags} = await this.parse(StandInEngineCommand);
    const engine = await startEngineServer(
      {
        tokens: flags.tokens,
        firstTokenMs: flags['first-token-ms'],
        betweenTokensMs: flags['between-tokens-ms'],
        stepMsPerStream: flags['ms-per-stream'],
      },
      flags.port,
    );
    this.log(`engine stand-in at ${engine.address}`);
    await awaitInterrupt();
    await engine.stop();
  }
}
