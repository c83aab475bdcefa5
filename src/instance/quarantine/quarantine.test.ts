/** Quarantines of several instances on one table. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSilentLog} from '../../common/log.js';
import {createMetrics} from '../../common/metrics.js';
import {createVirtualClock} from '../../common/virtual_clock.js';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import type {CollectionWatch} from '../../stores/collections.js';
import {makeEndpoint} from '../../testing/fixtures.js';
import {createMemoryWatch} from '../../testing/memory_watch.js';
import {createQuarantine, type Quarantine} from './quarantine.js';

const clock = createVirtualClock();

/** Passes the rows on only after the call, as a watch on a store does. */
function createLaterWatch(watch: CollectionWatch): CollectionWatch {
  return {
    watch(collection, listener) {
      queueMicrotask(() => watch.watch(collection, listener));
      return () => {};
    },
  };
}

function createQuarantines(count: number): Quarantine[] {
  const watch = createMemoryWatch(createMemoryPlatform().table);
  return Array.from({length: count}, () =>
    createQuarantine({
      clock,
      time: {read: () => clock.now()},
      log: createSilentLog(),
      metrics: createMetrics(),
      table: watch.table,
      watch: createLaterWatch(watch),
      shards: 2,
      isPruner: () => false,
    }),
  );
}

/** Loses one run on an endpoint where nobody listens. */
function injectLoss(quarantine: Quarantine, content: string) {
  return quarantine.noteLoss({
    requestId: content,
    content,
    parts: ['common'],
    endpoint: makeEndpoint(`127.0.0.1:${endpointPort++}`),
    hadAnswer: false,
  });
}

/** Ports that no process listens on. */
let endpointPort = 1;

describe('a part of prompts that was lost in several crashes', () => {
  // Guards against an answer that is recorded and removed at once: the other instances
  // went on holding the part back.
  it('is released at all instances by an answer at one of them', async () => {
    const [one, other] = createQuarantines(2);
    const sound = {content: 'sound', parts: ['common']};
    for (const content of ['a', 'b', 'c']) await injectLoss(one, content);
    await one.runMaintenance();
    const isHeld = {code: 'quarantined'};
    assert.throws(() => other.checkQuarantine(sound), isHeld);
    one.noteAnswered(sound, true);
    await one.runMaintenance();
    other.checkQuarantine(sound);
    one.checkQuarantine(sound);
  });
});
