/** Tests the order of waiting requests. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createFairQueue, type FairQueue} from './fair_queue.js';
import {makeRequest} from './scheduler_fixtures.js';

function takeNext(queue: FairQueue): string | undefined {
  const next = queue.peek();
  return next && queue.take(next.id)?.account;
}

describe('the fair queue', () => {
  // Guards against one account that sends ten times as many requests as
  // another: in a single queue the other's request would be served eleventh,
  // not second.
  it('serves accounts in turn regardless of how much one of them sends', () => {
    const queue = createFairQueue();
    for (let index = 0; index < 10; index++) {
      queue.push(makeRequest({account: 'large'}), 1);
    }
    queue.push(makeRequest({account: 'small'}), 1);
    assert.deepEqual(
      [takeNext(queue), takeNext(queue), takeNext(queue)],
      ['large', 'small', 'large'],
    );
  });

  it('serves accounts in proportion to their weights', () => {
    const queue = createFairQueue();
    for (let index = 0; index < 40; index++) {
      queue.push(makeRequest({account: 'heavy', weight: 3}), 1);
      queue.push(makeRequest({account: 'light', weight: 1}), 1);
    }
    const first = Array.from({length: 20}, () => takeNext(queue));
    assert.equal(first.filter(account => account === 'heavy').length, 15);
  });

  it('serves the earliest deadline of an account first', () => {
    const queue = createFairQueue();
    queue.push(makeRequest({id: 'later', deadline: 20}), 1);
    queue.push(makeRequest({id: 'sooner', deadline: 10}), 1);
    assert.equal(queue.peek()?.id, 'sooner');
  });

  it('does not let an idle account accumulate turns', () => {
    const queue = createFairQueue();
    for (let index = 0; index < 50; index++) {
      queue.push(makeRequest({account: 'steady'}), 1);
      takeNext(queue);
    }
    for (let index = 0; index < 10; index++) {
      queue.push(makeRequest({account: 'back'}), 1);
      queue.push(makeRequest({account: 'steady'}), 1);
    }
    const first = Array.from({length: 10}, () => takeNext(queue));
    const share = first.filter(account => account === 'back').length;
    assert.ok(share >= 5 && share <= 6, `${share} of 10`);
  });

  it('returns each expired request exactly once and no others', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 1, max: 100}), {maxLength: 200}),
        fc.integer({min: 0, max: 100}),
        (deadlines, now) => {
          const queue = createFairQueue();
          for (const deadline of deadlines) {
            queue.push(makeRequest({deadline, account: `a${deadline % 3}`}), 1);
          }
          const expired = queue.takeExpired(now);
          const due = deadlines.filter(deadline => deadline <= now);
          assert.equal(expired.length, due.length);
          assert.equal(queue.count(), deadlines.length - due.length);
          while (takeNext(queue)) continue;
          assert.equal(queue.count(), 0);
        },
      ),
      {seed: 5, numRuns: 100},
    );
  });
});
