/** `demo`: the main job on embedded stand-ins; ends by itself. */
import {Command} from '@oclif/core';
import {createSystemClock} from '../../common/clock.js';
import {createSilentLog} from '../../common/log.js';
import {applyServiceDocument} from '../../instance/configuration/configuration.js';
import {startInstance} from '../../instance/instance.js';
import {giveKey} from '../../instance/keys/key_directory.js';
import {startEngineServer} from '../../stand_ins/engine/engine_server.js';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import {
  ENGINE_DOCUMENT,
  makeEndpoint,
  makeSettings,
} from '../../testing/fixtures.js';

/** Runs an instance against stand-ins and shows an answer. */
export class DemoCommand extends Command {
  static override summary = 'Show the main job on embedded stand-ins';

  async run(): Promise<void> {
    const platform = createMemoryPlatform();
    const engine = await startEngineServer();
    platform.setInstances([makeEndpoint(engine.address)]);
    await applyServiceDocument(platform.table, ENGINE_DOCUMENT, 'demo');
    const {secret} = await giveKey(platform.table, 'gate');
    const instance = await startInstance({
      settings: makeSettings(),
      platform,
      clock: createSystemClock(),
      log: createSilentLog(),
    });
    const answer = await fetch(
      `http://${instance.callersAddress}/v1/chat/completions`,
      {
        method: 'POST',
        headers: {authorization: `Bearer ${secret}`},
        body: JSON.stringify({
          model: 'drum-reader-7b',
          messages: [{role: 'user', content: 'is drum 17 accepted'}],
        }),
      },
    );
    this.log(await answer.text());
    await instance.stop();
    await engine.stop();
  }
}
