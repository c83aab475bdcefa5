/** What an engine probably still has to prefill. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createPrefillQueue} from './prefill_queue.js';

/** A first byte takes 20 ms beside the prefill; they overlap with the next. */
const WORK = {aloneMs: 60, prefillMs: 40};
const ONLINE = 'online' as const;

describe('the prefill queue', () => {
  it('ends each prompt after those before it', () => {
    const queue = createPrefillQueue();
    assert.equal(queue.push({id: 'a', workClass: ONLINE}, WORK, 0), 60);
    assert.equal(queue.push({id: 'b', workClass: 'batch'}, WORK, 0), 100);
    assert.equal(queue.estimateBacklog(30), 50);
    assert.equal(queue.hasBatch(30), true);
    assert.equal(queue.estimateBacklog(100), 0);
  });

  // Batch work left slots empty: each item's first byte took 60 ms of which the
  // engine worked none, and the next item waited for it.
  it('is empty when a first byte takes long but prefill nothing', () => {
    const queue = createPrefillQueue();
    const short = {aloneMs: 60, prefillMs: 0};
    queue.push({id: 'a', workClass: 'batch'}, short, 0);
    assert.equal(queue.estimateBacklog(0), 0);
  });

  it('moves those behind when a first byte comes late', () => {
    const queue = createPrefillQueue();
    queue.push({id: 'a', workClass: ONLINE}, WORK, 0);
    queue.push({id: 'b', workClass: ONLINE}, WORK, 0);
    queue.remove('a', 'first-byte', 90);
    assert.equal(queue.estimateBacklog(90), 20);
  });

  // An engine turned slow. Its prompts stay unanswered past their predicted
  // end. Without first bytes the queue would count as empty and the next
  // question would be sent there as to an idle engine.
  it('keeps what is overdue once first bytes are reported', () => {
    const queue = createPrefillQueue();
    queue.push({id: 'seen', workClass: ONLINE}, WORK, 0);
    queue.remove('seen', 'first-byte', 60);
    queue.push({id: 'a', workClass: ONLINE}, WORK, 100);
    assert.equal(queue.findOverdue(180), undefined);
    assert.equal(queue.findOverdue(400)?.id, 'a');
    assert.ok(queue.estimateBacklog(400) > 90 - 20);
  });

  it('forgets what was stopped', () => {
    const queue = createPrefillQueue();
    queue.push({id: 'a', workClass: 'batch'}, WORK, 0);
    queue.remove('a', 'stopped', 10);
    assert.equal(queue.estimateBacklog(10), 0);
    assert.equal(queue.hasBatch(10), false);
  });
});
