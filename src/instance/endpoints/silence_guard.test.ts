/** The timer of silent connections. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {createSilenceTimer} from './silence_guard.js';

describe('a silence timer', () => {
  // Guards against a timer that never ends and keeps its request in memory, because a
  // slow caller reads on after the run has ended.
  it('cannot be started again once it is closed', async () => {
    let silences = 0;
    const timer = createSilenceTimer(() => silences++);
    timer.start(1);
    timer.close();
    timer.start(1);
    await wait(30);
    assert.equal(silences, 0);
  });
});
