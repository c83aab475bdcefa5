/** Which items go first when not all can be in time. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isTight, sortForYield} from './batch_order.js';
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
  // All instances were lost, and twice the work is left that fits before it is
  // due. In order of due times each item would be done a moment too late, one
  // after the other: people wait for every bundle instead of for half of them.
  it('go first that can still be in time, then the others', () => {
    const scheduler = createPoolScheduler({maxConcurrency: 2});
    // A question without an objective keeps one of two slots free for others.
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
  it('make way first that cannot be in time, then those due last', () => {
    const hold = (id: string, dueMs: number, grantedAt: number) =>
      ({request: makeItem(id, dueMs), grantedAt}) as HeldSlot;
    const slots = [
      hold('soon', 9000, 1000),
      hold('lost', 5000, 4000),
      hold('last', 30_000, 1000),
    ];
    const sorted = sortForYield(slots, WORK_MS, 4500);
    assert.deepEqual(
      sorted.map(({request}) => request.id),
      ['lost', 'last', 'soon'],
    );
  });

  // A step of questions exceeds the slots for seconds: hundreds are late by a
  // little whatever is done. Stopped for them, an item that was nearly in time
  // is late as well, and they are not less late.
  it('are tight when a stop would make them late', () => {
    const now = 10_000;
    const hold = (leftMs: number, slackMs: number) =>
      ({
        request: makeItem('item', now + leftMs + slackMs, leftMs),
        grantedAt: now,
      }) as HeldSlot;
    assert.equal(isTight(hold(3000, REQUEUE_WAIT_MS - 1), WORK_MS, now), true);
    assert.equal(isTight(hold(3000, REQUEUE_WAIT_MS + 1), WORK_MS, now), false);
    assert.equal(isTight(hold(3000, -1), WORK_MS, now), false);
  });
});
