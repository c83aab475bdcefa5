/**
 * Tests the scheduler's guarantees in any history, and their effect for
 * callers.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createPoolScheduler} from './pool_scheduler.js';
import {ANSWERED, makeEndpoints, makeRequest} from './scheduler_fixtures.js';
import type {
  ScheduledRequest,
  SchedulerAction,
  SchedulerOutcome,
} from './scheduler_types.js';

/**
 * Creates a scheduler that checks each of its actions against its guarantees.
 */
function createCheckedScheduler(endpointCount: number, maxConcurrency: number) {
  const scheduler = createPoolScheduler({maxConcurrency});
  const requests = new Map<string, ScheduledRequest>();
  const waiting = new Set<string>();
  const running = new Map<string, string>();
  const yielding = new Set<string>();
  const final = new Map<string, string>();
  let now = 0;

  const handlers: {
    [Kind in SchedulerAction['kind']]: (
      action: Extract<SchedulerAction, {kind: Kind}>,
    ) => void;
  } = {
    grant({requestId, endpoint}) {
      assert.ok(waiting.delete(requestId), `${requestId} was not waiting`);
      assert.ok(!final.has(requestId), `${requestId} was already decided`);
      final.set(requestId, 'grant');
      running.set(requestId, endpoint);
      const onEndpoint = [...running.values()].filter(at => at === endpoint);
      assert.ok(
        onEndpoint.length <= maxConcurrency,
        `${onEndpoint.length} at ${endpoint}`,
      );
      if (requests.get(requestId)!.workClass === 'batch') {
        const onlineIds = [...waiting].filter(
          id => requests.get(id)!.workClass === 'online',
        );
        assert.deepEqual(
          onlineIds,
          [],
          'batch item granted before an online request',
        );
      }
    },
    refuse({requestId, retryAfterMs}) {
      assert.ok(waiting.delete(requestId), `${requestId} was not waiting`);
      assert.ok(!final.has(requestId), `${requestId} was already decided`);
      assert.ok(retryAfterMs > 0);
      final.set(requestId, 'refuse');
    },
    yield({requestId}) {
      assert.equal(requests.get(requestId)?.workClass, 'batch');
      assert.ok(running.has(requestId), `${requestId} is not running`);
      assert.ok(
        !yielding.has(requestId),
        `${requestId} was ordered to yield twice`,
      );
      yielding.add(requestId);
    },
  };

  function apply(actions: readonly SchedulerAction[]) {
    // One list may grant an online request and batch items; its order matters.
    for (const action of actions) handlers[action.kind](action as never);
  }

  apply(scheduler.setEndpoints(makeEndpoints(endpointCount), now));
  return {
    waiting,
    running,
    final,
    submit(overrides: Partial<ScheduledRequest>) {
      const request = makeRequest({deadline: now + 5000, ...overrides});
      requests.set(request.id, request);
      waiting.add(request.id);
      apply(scheduler.submit(request, now));
      return request.id;
    },
    cancel(id: string) {
      waiting.delete(id);
      final.set(id, 'cancel');
      apply(scheduler.cancel(id, now));
    },
    release(id: string, outcome: SchedulerOutcome) {
      running.delete(id);
      apply(scheduler.release(id, outcome, now));
    },
    setEndpoints(count: number) {
      apply(scheduler.setEndpoints(makeEndpoints(count), now));
    },
    advance(ms: number) {
      now += ms;
      apply(scheduler.decide(now));
    },
    now: () => now,
  };
}

/** One step of a random history. */
const stepArbitrary = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant('submit' as const),
      account: fc.integer({min: 0, max: 4}),
      isBatch: fc.boolean(),
      tokens: fc.integer({min: 1, max: 4000}),
      avoids: fc.integer({min: 0, max: 2}),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('release' as const),
      pick: fc.nat(),
      outcome: fc.constantFrom<SchedulerOutcome['kind']>(
        'answered',
        'answered',
        'failed',
        'silent',
        'cancelled',
      ),
      firstByteMs: fc.integer({min: 1, max: 3000}),
    }),
  },
  fc.record({kind: fc.constant('cancel' as const), pick: fc.nat()}),
  fc.record({
    kind: fc.constant('advance' as const),
    ms: fc.integer({min: 1, max: 2000}),
  }),
  fc.record({
    kind: fc.constant('endpoints' as const),
    count: fc.integer({min: 0, max: 4}),
  }),
);

type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;
type Checked = ReturnType<typeof createCheckedScheduler>;

const steps: {
  [Kind in Step['kind']]: (
    checked: Checked,
    step: Extract<Step, {kind: Kind}>,
  ) => void;
} = {
  submit(checked, {account, isBatch, tokens, avoids}) {
    checked.submit({
      account: `account-${account}`,
      workClass: isBatch ? 'batch' : 'online',
      promptTokens: tokens,
      avoid: makeEndpoints(avoids).map(({address}) => address),
    });
  },
  release(checked, {pick, outcome, firstByteMs}) {
    const ids = [...checked.running.keys()];
    if (ids.length === 0) return;
    checked.release(ids[pick % ids.length], {
      kind: outcome,
      firstByteMs,
      totalMs: firstByteMs + 100,
      tokens: 10,
    });
  },
  cancel(checked, {pick}) {
    const ids = [...checked.waiting];
    if (ids.length > 0) checked.cancel(ids[pick % ids.length]);
  },
  advance: (checked, {ms}) => checked.advance(ms),
  endpoints: (checked, {count}) => checked.setEndpoints(count),
};

describe('the pool scheduler', () => {
  it('keeps its guarantees in any history', () => {
    fc.assert(
      fc.property(
        fc.array(stepArbitrary, {maxLength: 150}),
        fc.integer({min: 1, max: 4}),
        (history, limit) => {
          const checked = createCheckedScheduler(3, limit);
          for (const step of history) steps[step.kind](checked, step as never);
          // All running requests end and all deadlines pass, so every waiting
          // request must have been granted or refused.
          for (let round = 0; round < 40; round++) {
            for (const id of [...checked.running.keys()]) {
              checked.release(id, ANSWERED);
            }
            checked.advance(1000);
          }
          assert.deepEqual([...checked.waiting], []);
        },
      ),
      {seed: 11, numRuns: 300},
    );
  });

  it('grants an online request immediately when a slot is free', () => {
    const checked = createCheckedScheduler(2, 2);
    const id = checked.submit({});
    assert.equal(checked.final.get(id), 'grant');
  });

  // A caller disconnects while its request waits, and then a slot becomes free.
  // Guards against sending a request whose answer nobody receives.
  it('does not grant a cancelled request', () => {
    const checked = createCheckedScheduler(1, 1);
    const first = checked.submit({});
    const second = checked.submit({});
    checked.cancel(second);
    checked.release(first, ANSWERED);
    assert.equal(checked.final.get(second), 'cancel');
    assert.equal(checked.running.size, 0);
  });

  // Guards against starvation: two accounts share a saturated pool, and one
  // submits 20 requests first. The other account's only request, submitted
  // last, must get one of the next two slots.
  it('does not let one account starve another', () => {
    const checked = createCheckedScheduler(1, 2);
    for (let index = 0; index < 20; index++) {
      checked.submit({account: 'large', deadline: 60_000});
    }
    const small = checked.submit({account: 'small', deadline: 60_000});
    for (const id of [...checked.running.keys()].slice(0, 2)) {
      checked.advance(300);
      checked.release(id, ANSWERED);
    }
    assert.equal(checked.final.get(small), 'grant');
  });

  // Guards against a caller that waits past its deadline because the request is
  // only refused at some later event.
  it('refuses a waiting request at its deadline', () => {
    const checked = createCheckedScheduler(1, 1);
    checked.submit({deadline: 60_000});
    const late = checked.submit({deadline: 400});
    checked.advance(300);
    assert.equal(checked.final.has(late), false);
    checked.advance(100);
    assert.equal(checked.final.get(late), 'refuse');
  });

  it('orders batch items to yield when online requests find no slot', () => {
    const checked = createCheckedScheduler(1, 4);
    for (let index = 0; index < 4; index++) {
      checked.submit({workClass: 'batch'});
      checked.advance(500);
    }
    assert.equal(checked.running.size, 3, 'one slot is kept free');
    const onlineIds = [checked.submit({}), checked.submit({})];
    checked.advance(20);
    for (const id of [...checked.running.keys()].slice(0, 2)) {
      checked.release(id, {kind: 'yielded', tokens: 3});
    }
    checked.advance(200);
    assert.deepEqual(
      onlineIds.map(id => checked.final.get(id)),
      ['grant', 'grant'],
    );
  });
});
