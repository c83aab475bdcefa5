/** Endpoints that come back cold together, under a load that would crash them. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../plays/random.js';
import {createPoolScheduler, type PoolScheduler} from './pool_scheduler.js';
import {makeRequest} from './scheduler_fixtures.js';
import type {SchedulerAction} from './scheduler_types.js';
import {createWarmUpState, WARM_UP_WINDOW_MS, type WarmUp} from './warm_up.js';

/** As the operator states it, and what the agreement allows beyond the rate. */
const WARM_UP: WarmUp = {durationMs: 3000, requestsPerS: 11};
const ALLOWED_EXCESS = 1.5;
const ALLOWED_SLACK = 5;
const MAX_PER_S = WARM_UP.requestsPerS * ALLOWED_EXCESS + ALLOWED_SLACK;

const LIMITS = {maxConcurrency: 8, warmUp: WARM_UP};
const DECIDE_MS = 20;

/** Largest number of times within any span of one second. */
function findMostPerSecond(times: readonly number[]): number {
  const counts = times.map(
    from => times.filter(at => at >= from && at < from + 1000).length,
  );
  return Math.max(0, ...counts);
}

/** One dispatcher under load; requests end quickly, so slots do not bound them. */
function createLoadedPool(endpoints: readonly string[], coldUntil: number) {
  const sentAt = new Map(endpoints.map(address => [address, [] as number[]]));
  const ends: {id: string; at: number; endpoint: string}[] = [];
  let scheduler: PoolScheduler;
  let lastId = 0;

  function run(actions: readonly SchedulerAction[], now: number) {
    for (const action of actions) {
      if (action.kind !== 'grant') continue;
      sentAt.get(action.endpoint)!.push(now);
      ends.push({
        id: action.requestId,
        at: now + 60,
        endpoint: action.endpoint,
      });
    }
  }

  function open(now: number) {
    scheduler = createPoolScheduler(LIMITS);
    const listed = endpoints.map(address => ({
      address,
      failureDomain: 'a',
      coldUntil,
    }));
    run(scheduler.setEndpoints(listed, now), now);
  }

  return {
    sentAt,
    open,
    step(now: number, requests: number) {
      for (const end of ends.filter(({at}) => at <= now)) {
        ends.splice(ends.indexOf(end), 1);
        const outcome = {
          kind: 'answered',
          tokens: 1,
          firstByteMs: 20,
          totalMs: 60,
        } as const;
        run(scheduler.release(end.id, outcome, now), now);
      }
      for (let index = 0; index < requests; index++) {
        const request = makeRequest({
          id: `r${lastId++}`,
          deadline: now + 3000,
        });
        run(scheduler.submit(request, now), now);
      }
      run(scheduler.decide(now), now);
    },
  };
}

describe('warm-up', () => {
  // A cold endpoint that gets far more than its rate within a second crashes.
  it('bounds what a cold endpoint gets in any second', () => {
    const pool = createLoadedPool(['cold'], 6000);
    pool.open(0);
    for (let now = 0; now < 6000; now += DECIDE_MS) pool.step(now, 4);
    const times = pool.sentAt.get('cold')!.filter(at => at < 6000);
    assert.ok(times.length > 0);
    assert.ok(findMostPerSecond(times) <= WARM_UP.requestsPerS);
  });

  // During a takeover two dispatchers grant, and neither knows what the other did.
  it('stays within the bound when dispatchers change at any moment', () => {
    const random = createRandom(7);
    for (let run = 0; run < 20; run++) {
      const first = createLoadedPool(['cold'], 1e6);
      const second = createLoadedPool(['cold'], 1e6);
      const from = 3000 * random.draw();
      const until = from + 2000 * random.draw();
      first.open(-5000);
      second.open(from);
      for (let now = 0; now < 6000; now += DECIDE_MS) {
        if (now < until) first.step(now, 4);
        if (now >= from) second.step(now, 4);
      }
      const times = [
        ...first.sentAt.get('cold')!,
        ...second.sentAt.get('cold')!,
      ].filter(at => at >= 0);
      assert.ok(findMostPerSecond(times) <= MAX_PER_S);
    }
  });

  it('sends the rest to warm endpoints', () => {
    const scheduler = createPoolScheduler(LIMITS);
    const listed = [
      {address: 'cold', failureDomain: 'a', coldUntil: 10_000},
      {address: 'warm', failureDomain: 'b'},
    ];
    scheduler.setEndpoints(listed, 0);
    const endpoints = Array.from({length: 8}, (_, index) =>
      scheduler.submit(makeRequest({id: `r${index}`}), 10),
    )
      .flat()
      .filter(action => action.kind === 'grant')
      .map(({endpoint}) => endpoint);
    assert.deepEqual([...new Set(endpoints)], ['warm']);
  });

  it('ends when the endpoint is warm', () => {
    const state = createWarmUpState(0);
    state.noteColdUntil(5000);
    assert.equal(state.countAllowed(WARM_UP, 4999), 9);
    assert.equal(state.countAllowed(WARM_UP, 5000), Infinity);
  });

  // An endpoint that crashed and started again is cold before its registration
  // says so.
  describe('after signs of a restart', () => {
    for (const kind of ['refused', 'silent'] as const) {
      it(`starts anew when a request was ${kind}`, () => {
        const state = createWarmUpState(0);
        state.noteOutcome(kind, false, 10_000);
        assert.ok(Number.isFinite(state.countAllowed(WARM_UP, 12_999)));
        assert.equal(state.countAllowed(WARM_UP, 13_000), Infinity);
      });
    }

    it('starts anew when an ejection ends', () => {
      const state = createWarmUpState(0);
      state.noteOutcome('answered', true, 10_000);
      assert.ok(Number.isFinite(state.countAllowed(WARM_UP, 10_000)));
    });

    it('does not start with ordinary failures', () => {
      const state = createWarmUpState(0);
      state.noteOutcome('failed', false, 10_000);
      assert.equal(state.countAllowed(WARM_UP, 10_000), Infinity);
    });
  });

  it('gives nothing while the last second of a cold endpoint is unknown', () => {
    const state = createWarmUpState(1000);
    state.noteColdUntil(9000);
    assert.equal(state.countAllowed(WARM_UP, 1000 + WARM_UP_WINDOW_MS - 1), 0);
    assert.equal(state.countAllowed(WARM_UP, 1000 + WARM_UP_WINDOW_MS), 9);
  });
});
