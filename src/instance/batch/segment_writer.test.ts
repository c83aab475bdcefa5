import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '../../common/virtual_clock.js';
import type {ObjectStore} from '../../stores/object_store.js';
import {STORE_RETRY_DELAY_MS} from './constants.js';
import {createSegmentWriter} from './segment_writer.js';
import type {SegmentStore} from './segment_store.js';

const WHOLE = 'one\ntwo\n';

describe('segment writer', () => {
  // Guards against items that are missing from a job whose output looks complete.
  it('reads lines again if they are not whole', async () => {
    const clock = createVirtualClock();
    const bodies = [WHOLE.slice(0, -2), WHOLE];
    const objects = {get: async () => Buffer.from(bodies.shift()!)};
    const writer = createSegmentWriter({
      clock,
      objects: objects as unknown as ObjectStore,
      segments: {} as SegmentStore,
    });
    const reading = writer.getLines('items', new AbortController().signal);
    await new Promise(resolve => setImmediate(resolve));
    assert.equal(bodies.length, 1);
    clock.advance(STORE_RETRY_DELAY_MS);
    assert.deepEqual(await reading, ['one', 'two']);
  });
});
