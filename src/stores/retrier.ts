/**
 * Tries calls to one service again, within a budget.
 *
 * Failure it answers: the store is out, every instance tries every call again
 * and again, and when it returns it meets many times its usual load and goes
 * out once more. Symptom: an outage of a minute lasts an hour. Three measures
 * together are enough: waits are drawn at random, so that instances do not ask
 * in step; retries are paid from a budget that only answered calls refill; and
 * after a few failures in a row calls fail at once but for a probe now and
 * then. docs/design/platform.md has the measurement.
 */
import {waitFor, type Clock} from '../common/clock.js';
import {
  MAX_ATTEMPTS,
  OUTAGE_AFTER_FAILURES,
  PROBE_FIRST_MS,
  PROBE_MAX_MS,
  RETRY_BASE_MS,
  RETRY_BUDGET_MAX,
  RETRY_BUDGET_PER_SUCCESS,
  RETRY_MAX_MS,
} from './constants.js';
import {isRetryable, StoreFailure} from './store_failure.js';

/** Told of each try, for metrics. */
export type AttemptListener = (outcome: AttemptOutcome) => void;

/** How a try ended; `withheld`: not made, because the service is out. */
export type AttemptOutcome =
  'answered' | 'refused' | 'failed' | 'withheld' | 'retried';

/** Runs calls to one service. */
export interface Retrier {
  /**
   * Runs `attempt` until it ends otherwise than by a retryable failure, at most
   * `maxAttempts` times.
   */
  run<Result>(
    attempt: () => Promise<Result>,
    maxAttempts?: number,
  ): Promise<Result>;
  /**
   * Runs `attempt` once, also while the service counts as out; its answer ends
   * that for all calls. For the one caller that looks whether it is back.
   */
  probe<Result>(attempt: () => Promise<Result>): Promise<Result>;
  /** Whether the service counts as out. */
  isOut(): boolean;
}

/** What a retrier works with. `random` draws from 0 to 1. */
export interface RetrierDependencies {
  clock: Clock;
  random: () => number;
  listener: AttemptListener;
}

/** Starts with a full budget and trust in the service. */
export function createRetrier({
  clock,
  random,
  listener,
}: RetrierDependencies): Retrier {
  let budget = RETRY_BUDGET_MAX;
  let failuresInRow = 0;
  let probeWaitMs = PROBE_FIRST_MS;
  let nextProbeAt = -Infinity;

  function isOut(): boolean {
    return failuresInRow >= OUTAGE_AFTER_FAILURES;
  }

  function checkMayAsk() {
    if (!isOut()) return;
    if (clock.now() >= nextProbeAt) {
      nextProbeAt = clock.now() + random() * probeWaitMs;
      probeWaitMs = Math.min(PROBE_MAX_MS, 2 * probeWaitMs);
      return;
    }
    listener('withheld');
    throw new StoreFailure('the platform is out; it is probed now and then', {
      effect: 'none',
      retryable: false,
    });
  }

  function noteAnswer() {
    failuresInRow = 0;
    probeWaitMs = PROBE_FIRST_MS;
    budget = Math.min(RETRY_BUDGET_MAX, budget + RETRY_BUDGET_PER_SUCCESS);
  }

  function noteFailure() {
    failuresInRow++;
    if (failuresInRow !== OUTAGE_AFTER_FAILURES) return;
    nextProbeAt = clock.now() + random() * probeWaitMs;
  }

  async function runAttempt<Result>(
    attempt: () => Promise<Result>,
  ): Promise<Result> {
    try {
      const result = await attempt();
      noteAnswer();
      listener('answered');
      return result;
    } catch (error) {
      if (isRetryable(error)) noteFailure();
      else noteAnswer();
      listener(isRetryable(error) ? 'failed' : 'refused');
      throw error;
    }
  }

  function takeRetry(attempts: number, maxAttempts: number): boolean {
    if (attempts >= maxAttempts || budget < 1 || isOut()) return false;
    budget--;
    listener('retried');
    return true;
  }

  return {
    isOut,
    probe: runAttempt,
    async run(attempt, maxAttempts = MAX_ATTEMPTS) {
      for (let attempts = 1; ; attempts++) {
        try {
          checkMayAsk();
          return await runAttempt(attempt);
        } catch (error) {
          if (!isRetryable(error) || !takeRetry(attempts, maxAttempts)) {
            throw error;
          }
        }
        const wait = Math.min(RETRY_MAX_MS, RETRY_BASE_MS * 2 ** attempts);
        await waitFor(clock, drawWait(wait, random));
      }
    },
  };
}

/** From half of `waitMs` to all of it. */
function drawWait(waitMs: number, random: () => number): number {
  return (waitMs / 2) * (1 + random());
}
