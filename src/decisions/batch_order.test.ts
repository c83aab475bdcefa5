/** Tests which items go first when not all can be in time. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isNearlyLate, sortForYield} from './batch_order.js';
import type {HeldSlot} from './endpoint_tracker.js';
import {createPoolScheduler} from './pool_scheduler.js';
import {REQUEUE_WAIT_MS} from './scheduler_constants.js';
import {makeEndpoints, makeRequest} from './scheduler_fixtures.js';
import type {SchedulerAction} from './scheduler_types.js';

const WORK_MS = 5000;

function makeItem(id: string, dueMs: number, workMs = WORK_MS) {
  return makeRequest({
    id,
    workClass: 'batch',
    deadline: 60_000,
    dueAt: dueMs,
    workMs,
  });
}

function listGrants(actions: readonly SchedulerAction[]): string[] {
  return actions
    .filter(({kind}) => kind === 'grant')
    .map(({requestId}) => requestId);
}

describe('waiting items', () => {
  // Guards against a backlog in which every item is a little late: after a loss
  // of all instances, twice as much work is left as fits before it is due, and
  // in order of due times each item would end just after its own.
  it('start with those that can still be in time', () => {
    const scheduler = createPoolScheduler({maxConcurrency: 2});
    // While online demand is unknown, one of the two slots is kept free for it.
    scheduler.setEndpoints(makeEndpoints(1), 0);
    const first = scheduler.submit(makeItem('running', 40_000), 0);
    assert.deepEqual(listGrants(first), ['running']);
    let now = 10;
    for (const item of [
      makeItem('lost', 4000),
      makeItem('last', 30_000),
      makeItem('next', 12_000),
      makeItem('nearly-done', 4000, 1000),
    ]) {
      assert.deepEqual(listGrants(scheduler.submit(item, now)), []);
    }
    const order: string[] = [];
    let running = 'running';
    while (order.length < 4) {
      now += 100;
      const answer = {kind: 'answered', tokens: 9} as const;
      const [next] = listGrants(scheduler.release(running, answer, now));
      order.push(next);
      running = next;
    }
    assert.deepEqual(order, ['nearly-done', 'next', 'last', 'lost']);
  });
});

describe('running items', () => {
  it('yield first if they cannot be in time, then by latest due time', () => {
    const makeSlot = (id: string, dueMs: number, grantedAt: number) =>
      ({request: makeItem(id, dueMs), grantedAt}) as HeldSlot;
    const slots = [
      makeSlot('soon', 9000, 1000),
      makeSlot('lost', 5000, 4000),
      makeSlot('last', 30_000, 1000),
    ];
    const sorted = sortForYield(slots, WORK_MS, 4500);
    assert.deepEqual(
      sorted.map(({request}) => request.id),
      ['lost', 'last', 'soon'],
    );
  });

  // Guards against stopping items in vain: when a step of online load exceeds
  // the slots for seconds, hundreds of requests are a little late in any case.
  // Stopping an item for them makes the item late and does not help them.
  it('are nearly late when only a stop would make them late', () => {
    const now = 10_000;
    const makeSlot = (leftMs: number, slackMs: number) =>
      ({
        request: makeItem('item', now + leftMs + slackMs, leftMs),
        grantedAt: now,
      }) as HeldSlot;
    assert.equal(
      isNearlyLate(makeSlot(3000, REQUEUE_WAIT_MS - 1), WORK_MS, now),
      true,
    );
    assert.equal(
      isNearlyLate(makeSlot(3000, REQUEUE_WAIT_MS + 1), WORK_MS, now),
      false,
    );
    assert.equal(isNearlyLate(makeSlot(3000, -1), WORK_MS, now), false);
  });
});
