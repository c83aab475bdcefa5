/** Tests which items yield to online requests, and when. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isUrgent} from './batch_pacing.js';
import {createPoolScheduler, type PoolScheduler} from './pool_scheduler.js';
import {YIELD_SLACK_MS, YIELD_TIMEOUT_MS} from './scheduler_constants.js';
import {makeEndpoints, makeRequest} from './scheduler_fixtures.js';
import type {SchedulerAction} from './scheduler_types.js';

const SLOTS = 4;
const OBJECTIVE_MS = 1000;

/** One endpoint whose slots are held by items due after 50, 40, 45 and 30 s. */
function createFullPool() {
  const scheduler = createPoolScheduler({maxConcurrency: SLOTS});
  scheduler.setEndpoints(makeEndpoints(1), 0);
  // These online requests can wait for a yield, so no slots are kept free.
  for (let index = 0; index < 5; index++)
    submitOnline(scheduler, `past-${index}`, 0);
  for (let index = 0; index < 5; index++) {
    scheduler.release(`past-${index}`, {kind: 'answered', tokens: 1}, 1);
  }
  let now = 100;
  for (const dueS of [50, 40, 45, 30]) {
    const item = makeRequest({
      id: `due-${dueS}`,
      workClass: 'batch',
      deadline: 60_000,
      dueAt: dueS * 1000,
    });
    scheduler.submit(item, now);
    now += 2000;
    scheduler.decide(now);
  }
  return {scheduler, now};
}

function submitOnline(scheduler: PoolScheduler, id: string, now: number) {
  const deadline = now + 5000;
  const targetAt = now + OBJECTIVE_MS;
  return scheduler.submit(makeRequest({id, deadline, targetAt}), now);
}

function listYields(actions: readonly SchedulerAction[]): string[] {
  return actions
    .filter(({kind}) => kind === 'yield')
    .map(({requestId}) => requestId);
}

describe('items that hold every slot', () => {
  // Guards against stopping items for a request that would be in time anyway:
  // it can wait for a slot that becomes free by itself.
  it('continue while an online request has time to wait', () => {
    const {scheduler, now} = createFullPool();
    assert.deepEqual(
      listYields(submitOnline(scheduler, 'online-request', now)),
      [],
    );
  });

  it('yield before the request misses its objective, latest due time first', () => {
    const {scheduler, now} = createFullPool();
    submitOnline(scheduler, 'online-request', now);
    const late = now + OBJECTIVE_MS - YIELD_SLACK_MS;
    assert.deepEqual(listYields(scheduler.decide(late)), ['due-50']);
    const [granted] = scheduler.release(
      'due-50',
      {kind: 'yielded', tokens: 3},
      late + 10,
    );
    assert.equal(granted.kind, 'grant');
    assert.equal(granted.requestId, 'online-request');
  });

  // Guards against waiting for a frozen instance, which never receives the
  // yield order: its slot counted as about to be free, and the request waited
  // until its caller left although other items could have yielded.
  it('yield in turn when one of them does not', () => {
    const {scheduler, now} = createFullPool();
    submitOnline(scheduler, 'online-request', now);
    const late = now + OBJECTIVE_MS - YIELD_SLACK_MS;
    assert.deepEqual(listYields(scheduler.decide(late)), ['due-50']);
    assert.deepEqual(listYields(scheduler.decide(late + 20)), []);
    const silent = late + YIELD_TIMEOUT_MS;
    assert.deepEqual(listYields(scheduler.decide(silent)), ['due-45']);
  });
});

describe('a waiting online request', () => {
  it('is urgent when its objective leaves no time for an item to yield', () => {
    const firstByteMs = 80;
    const startBy = 1000 - firstByteMs - YIELD_SLACK_MS;
    assert.equal(isUrgent(1000, firstByteMs, startBy), false);
    assert.equal(isUrgent(1000, firstByteMs, startBy + 1), true);
  });

  it('is always urgent without an objective', () => {
    assert.equal(isUrgent(undefined, 80, 0), true);
  });
});
