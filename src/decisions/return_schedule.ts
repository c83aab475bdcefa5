/**
 * Decides when the callers that are refused return.
 *
 * Load pattern: one account sends several times its rate, and some hundred of
 * its requests are refused within a second. With one retry time for all, they
 * return together, and all but the first few are refused again.
 *
 * The first refused request of an account returns at the earliest useful time.
 * Each further one returns a service interval of the account later, the mean
 * time between two slots that it gets. Where the last one would return after
 * MAX_RETRY_AFTER_MS, the schedule starts again at the earliest time, so that
 * the returns are still spread. Accounts whose last return has passed are
 * removed.
 */
import {
  MAX_RETRY_AFTER_MS,
  MAX_SERVICE_INTERVAL_MS,
} from './scheduler_constants.js';

/** Return times by account. */
export interface ReturnSchedule {
  /**
   * Returns the delay of the next return of an account, in ms; `earliestMs` is
   * the delay after which the first one is of use.
   */
  schedule(
    account: string,
    earliestMs: number,
    intervalMs: number,
    now: number,
  ): number;
  /** Number of accounts with returns to come. */
  count(): number;
}

/** Number of accounts from which passed ones are searched for and removed. */
const MIN_SWEEP = 64;

/** Creates an empty schedule. */
export function createReturnSchedule(): ReturnSchedule {
  const lastReturns = new Map<string, number>();
  let sweepSize = MIN_SWEEP;

  function removePassed(now: number) {
    for (const [account, at] of lastReturns) {
      if (at <= now) lastReturns.delete(account);
    }
    sweepSize = Math.max(MIN_SWEEP, 2 * lastReturns.size);
  }

  return {
    schedule(account, earliestMs, intervalMs, now) {
      const interval = Math.min(intervalMs, MAX_SERVICE_INTERVAL_MS);
      const earliest = now + earliestMs;
      const next = (lastReturns.get(account) ?? -Infinity) + interval;
      const isInBounds = next > earliest && next <= now + MAX_RETRY_AFTER_MS;
      const returnAt = isInBounds ? next : earliest;
      lastReturns.set(account, returnAt);
      if (lastReturns.size > sweepSize) removePassed(now);
      return returnAt - now;
    },
    count: () => lastReturns.size,
  };
}
