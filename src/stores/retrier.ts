/**
 * Retries calls to one service within a budget.
 *
 * During an outage of the store, every instance retries every call, so the
 * store recovers under many times its usual load and fails again: an outage of
 * a minute lasts an hour. Three measures prevent this. Backoff has jitter, so
 * that instances do not retry in step. Retries are paid from a budget that only
 * successful calls refill. After several consecutive failures, calls fail
 * immediately, except for occasional probes.
 */
import {waitFor, type Clock} from '../common/clock.js';
import {
  MAX_ATTEMPTS,
  OUTAGE_AFTER_FAILURES,
  PROBE_BASE_MS,
  PROBE_MAX_MS,
  RETRY_BASE_MS,
  RETRY_BUDGET_MAX,
  RETRY_BUDGET_PER_SUCCESS,
  RETRY_MAX_MS,
} from './constants.js';
import {isRetryable, StoreFailure} from './store_failure.js';

/** Receives the outcome of each attempt, for metrics. */
export type AttemptListener = (outcome: AttemptOutcome) => void;

/**
 * Outcome of an attempt. `refused`: the error is not retryable. `withheld`: not
 * sent, because the service is unavailable. `retried`: a retry follows.
 */
export type AttemptOutcome =
  'answered' | 'refused' | 'failed' | 'withheld' | 'retried';

/** Runs calls to one service. */
export interface Retrier {
  /**
   * Runs `attempt` until it succeeds or fails with an error that is not
   * retryable, at most `maxAttempts` times.
   */
  run<Result>(
    attempt: () => Promise<Result>,
    maxAttempts?: number,
  ): Promise<Result>;
  /**
   * Runs `attempt` once even if the service counts as unavailable; a success
   * makes it available to all calls. Meant for the one caller that detects
   * recovery.
   */
  probe<Result>(attempt: () => Promise<Result>): Promise<Result>;
  /** Whether the service counts as unavailable. */
  isUnavailable(): boolean;
}

/** Dependencies of a retrier. `random` returns a number from 0 to 1. */
export interface RetrierDependencies {
  clock: Clock;
  random: () => number;
  listener: AttemptListener;
}

/**
 * Creates a retrier with a full budget, for a service that counts as available.
 */
export function createRetrier({
  clock,
  random,
  listener,
}: RetrierDependencies): Retrier {
  let budget = RETRY_BUDGET_MAX;
  let consecutiveFailures = 0;
  let probeWaitMs = PROBE_BASE_MS;
  let nextProbeAt = -Infinity;

  function isUnavailable(): boolean {
    return consecutiveFailures >= OUTAGE_AFTER_FAILURES;
  }

  function checkMaySend() {
    if (!isUnavailable()) return;
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

  function noteSuccess() {
    consecutiveFailures = 0;
    probeWaitMs = PROBE_BASE_MS;
    budget = Math.min(RETRY_BUDGET_MAX, budget + RETRY_BUDGET_PER_SUCCESS);
  }

  function noteFailure() {
    consecutiveFailures++;
    if (consecutiveFailures !== OUTAGE_AFTER_FAILURES) return;
    nextProbeAt = clock.now() + random() * probeWaitMs;
  }

  async function runAttempt<Result>(
    attempt: () => Promise<Result>,
  ): Promise<Result> {
    try {
      const result = await attempt();
      noteSuccess();
      listener('answered');
      return result;
    } catch (error) {
      if (isRetryable(error)) noteFailure();
      else noteSuccess();
      listener(isRetryable(error) ? 'failed' : 'refused');
      throw error;
    }
  }

  function takeRetry(attempts: number, maxAttempts: number): boolean {
    if (attempts >= maxAttempts || budget < 1 || isUnavailable()) return false;
    budget--;
    listener('retried');
    return true;
  }

  return {
    isUnavailable,
    probe: runAttempt,
    async run(attempt, maxAttempts = MAX_ATTEMPTS) {
      for (let attempts = 1; ; attempts++) {
        try {
          checkMaySend();
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

/** Draws a wait between half of `waitMs` and `waitMs`. */
function drawWait(waitMs: number, random: () => number): number {
  return (waitMs / 2) * (1 + random());
}
