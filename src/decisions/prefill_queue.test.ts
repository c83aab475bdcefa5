/** Tests the estimate of an engine's remaining prefill work. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createPrefillQueue} from './prefill_queue.js';

/**
 * 20 ms of the first-byte time are not prefill and overlap with the next
 * prompt.
 */
const WORK = {idleFirstByteMs: 60, prefillMs: 40};
const ONLINE = 'online' as const;

describe('the prefill queue', () => {
  it('estimates the end of each prompt after those before it', () => {
    const queue = createPrefillQueue();
    assert.equal(queue.push({id: 'a', workClass: ONLINE}, WORK, 0), 60);
    assert.equal(queue.push({id: 'b', workClass: 'batch'}, WORK, 0), 100);
    assert.equal(queue.estimateBacklog(30), 50);
    assert.equal(queue.hasBatch(30), true);
    assert.equal(queue.estimateBacklog(100), 0);
  });

  // Guards against batch work that leaves slots empty: each item's first byte
  // took 60 ms in which the engine did not prefill, and the next item waited
  // for it.
  it('is empty if the first byte takes long but the prefill takes no time', () => {
    const queue = createPrefillQueue();
    const short = {idleFirstByteMs: 60, prefillMs: 0};
    queue.push({id: 'a', workClass: 'batch'}, short, 0);
    assert.equal(queue.estimateBacklog(0), 0);
  });

  it('delays the prompts behind a late first byte', () => {
    const queue = createPrefillQueue();
    queue.push({id: 'a', workClass: ONLINE}, WORK, 0);
    queue.push({id: 'b', workClass: ONLINE}, WORK, 0);
    queue.remove('a', 'first-byte', 90);
    assert.equal(queue.estimateBacklog(90), 20);
  });

  // Guards against sending requests to an engine that became slow: its prompts
  // are unanswered past their predicted end, and a queue that ignored the
  // missing first bytes would count as empty, like that of an idle engine.
  it('keeps overdue prompts once first bytes are reported', () => {
    const queue = createPrefillQueue();
    queue.push({id: 'seen', workClass: ONLINE}, WORK, 0);
    queue.remove('seen', 'first-byte', 60);
    queue.push({id: 'a', workClass: ONLINE}, WORK, 100);
    assert.equal(queue.findOverdue(180), undefined);
    assert.equal(queue.findOverdue(400)?.id, 'a');
    assert.ok(queue.estimateBacklog(400) > 90 - 20);
  });

  it('removes stopped prompts', () => {
    const queue = createPrefillQueue();
    queue.push({id: 'a', workClass: 'batch'}, WORK, 0);
    queue.remove('a', 'stopped', 10);
    assert.equal(queue.estimateBacklog(10), 0);
    assert.equal(queue.hasBatch(10), false);
  });
});
