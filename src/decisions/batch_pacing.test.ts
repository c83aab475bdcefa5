/** Which items make way for questions, and when. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isUrgent} from './batch_pacing.js';
import {createPoolScheduler, type PoolScheduler} from './pool_scheduler.js';
import {YIELD_SLACK_MS, YIELD_TIMEOUT_MS} from './scheduler_constants.js';
import {makeEndpoints, makeRequest} from './scheduler_fixtures.js';
import type {SchedulerAction} from './scheduler_types.js';

const SLOTS = 4;
const OBJECTIVE_MS = 1000;

/** One endpoint whose slots are all held by items due 50, 40, 45, 30 s on. */
function createFullPool() {
  const scheduler = createPoolScheduler({maxConcurrency: SLOTS});
  scheduler.setEndpoints(makeEndpoints(1), 0);
  // Questions that have time: nothing is kept free for others like them.
  for (let index = 0; index < 5; index++) ask(scheduler, `past-${index}`, 0);
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

function ask(scheduler: PoolScheduler, id: string, now: number) {
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
  // A caller whose answer would be in time anyway costs a bundle nothing: the
  // question waits for a slot that comes free by itself.
  it('go on while a question has time to wait', () => {
    const {scheduler, now} = createFullPool();
    assert.deepEqual(listYields(ask(scheduler, 'question', now)), []);
  });

  it('make way before it misses its objective, the one due last first', () => {
    const {scheduler, now} = createFullPool();
    ask(scheduler, 'question', now);
    const late = now + OBJECTIVE_MS - YIELD_SLACK_MS;
    assert.deepEqual(listYields(scheduler.decide(late)), ['due-50']);
    const [granted] = scheduler.release(
      'due-50',
      {kind: 'yielded', tokens: 3},
      late + 10,
    );
    assert.equal(granted.kind, 'grant');
    assert.equal(granted.requestId, 'question');
  });

  // The instance that runs an item is frozen and never hears that it must make
  // way. Its slot counted as one about to be free, so the question waited until
  // its caller left, although other items could have made way.
  it('make way in turn when one does not', () => {
    const {scheduler, now} = createFullPool();
    ask(scheduler, 'question', now);
    const late = now + OBJECTIVE_MS - YIELD_SLACK_MS;
    assert.deepEqual(listYields(scheduler.decide(late)), ['due-50']);
    assert.deepEqual(listYields(scheduler.decide(late + 20)), []);
    const silent = late + YIELD_TIMEOUT_MS;
    assert.deepEqual(listYields(scheduler.decide(silent)), ['due-45']);
  });
});

describe('a waiting question', () => {
  it('is urgent when its objective leaves no time for an item to go', () => {
    const firstByteMs = 80;
    const startBy = 1000 - firstByteMs - YIELD_SLACK_MS;
    assert.equal(isUrgent(1000, firstByteMs, startBy), false);
    assert.equal(isUrgent(1000, firstByteMs, startBy + 1), true);
  });

  it('is always urgent without an objective', () => {
    assert.equal(isUrgent(undefined, 80, 0), true);
  });
});
