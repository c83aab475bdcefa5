import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '../common/virtual_clock.js';
import {MAX_ATTEMPTS, PROBE_MAX_MS} from './constants.js';
import {createRetrier, type AttemptOutcome} from './retrier.js';
import {StoreFailure} from './store_failure.js';

/** Simulates instances that each call the store at a fixed period. */
function createFleet(instances: number, periodMs: number) {
  const clock = createVirtualClock();
  const store = {up: true, callsBySecond: new Map<number, number>()};

  async function sendCall() {
    const second = Math.floor(clock.now() / 1000);
    const calls = store.callsBySecond.get(second) ?? 0;
    store.callsBySecond.set(second, calls + 1);
    if (store.up) return;
    throw new StoreFailure('down', {effect: 'unknown', retryable: true});
  }

  for (let instance = 0; instance < instances; instance++) {
    let draws = instance + 1;
    const random = () => {
      draws = (draws * 16807) % 2147483647;
      return draws / 2147483647;
    };
    const retrier = createRetrier({clock, random, listener: () => {}});
    const poll = () => {
      retrier.run(sendCall).catch(() => {});
      clock.schedule(periodMs, poll);
    };
    clock.schedule(random() * periodMs, poll);
  }

  return {
    clock,
    store,
    /** The maximum number of calls in any second of the range. */
    countPeak(fromS: number, toS: number): number {
      let peak = 0;
      for (let second = fromS; second < toS; second++) {
        peak = Math.max(peak, store.callsBySecond.get(second) ?? 0);
      }
      return peak;
    },
  };
}

describe('retrier', () => {
  function createFixture(failures: number, retryable = true) {
    const clock = createVirtualClock();
    const outcomes: AttemptOutcome[] = [];
    const retrier = createRetrier({
      clock,
      random: () => 0.5,
      listener: outcome => outcomes.push(outcome),
    });
    let left = failures;
    const attempt = async () => {
      if (left-- <= 0) return 'answer';
      throw new StoreFailure('no', {effect: 'none', retryable});
    };
    return {clock, outcomes, retrier, attempt};
  }

  it('retries a failure that may succeed', async () => {
    const {clock, outcomes, retrier, attempt} = createFixture(1);
    const result = retrier.run(attempt);
    await clock.advanceAsync(1000);
    assert.equal(await result, 'answer');
    assert.deepEqual(outcomes, ['failed', 'retried', 'answered']);
  });

  it('gives up after MAX_ATTEMPTS, and immediately on a refusal', async () => {
    const failing = createFixture(Infinity);
    const result = assert.rejects(failing.retrier.run(failing.attempt));
    await failing.clock.advanceAsync(10_000);
    await result;
    assert.equal(
      failing.outcomes.filter(outcome => outcome === 'failed').length,
      MAX_ATTEMPTS,
    );
    const refused = createFixture(Infinity, false);
    await assert.rejects(refused.retrier.run(refused.attempt));
    assert.deepEqual(refused.outcomes, ['refused']);
  });

  it('sends fewer calls to a store during and after its outage', async () => {
    // 120 instances poll once a second while the store goes down for a minute.
    // Without budget, probes and jitter each poll would become 3 calls during
    // and after the outage, and the overload would prolong it. The test
    // compares the calls in the worst second with those of a healthy store.
    const fleet = createFleet(120, 1000);
    await fleet.clock.advanceAsync(20_000);
    const healthy = fleet.countPeak(2, 20);
    fleet.store.up = false;
    await fleet.clock.advanceAsync(60_000);
    const early = fleet.countPeak(20, 26);
    const late = fleet.countPeak(30, 80);
    fleet.store.up = true;
    await fleet.clock.advanceAsync(20_000);
    const returning = fleet.countPeak(80, 100);
    assert.ok(
      early <= MAX_ATTEMPTS * healthy,
      `first seconds: ${early} of ${healthy}`,
    );
    assert.ok(late < 0.8 * healthy, `outage: ${late} of ${healthy}`);
    assert.ok(returning <= 1.1 * healthy, `return: ${returning}`);
    const recovered = 80 + PROBE_MAX_MS / 1000 + 1;
    assert.equal(fleet.countPeak(recovered, 99), healthy);
  });
});
