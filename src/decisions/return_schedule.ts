/**
 * Decides when the callers that are refused return.
 *
 * Load pattern: one account sends several times its rate, and some hundred of
 * its requests are refused within a second. With one retry time for all, they
 * return together, and all but the first few are refused again.
 *
 * The first refused request of an account returns at the earliest useful time.
 * Each further one returns a service interval of the account later, the mean
 * time between two slots that it gets. Where one would return after
 * MAX_RETURN_SHARE of the time that its caller has left, the schedule starts
 * again between two earlier returns, so that they are still spread and none
 * comes too late to be served. Accounts whose last return has passed are
 * removed.
 */
import {
  MAX_RETURN_SHARE,
  MAX_SERVICE_INTERVAL_MS,
} from './scheduler_constants.js';

/** The refused request. */
export interface RefusedRequest {
  account: string;
  /** Time after which its answer is of no use, in ms. */
  deadline: number;
}

/** Return times by account. */
export interface ReturnSchedule {
  /**
   * Returns the delay of the next return of its account, in ms; `earliestMs` is
   * the delay after which the first one is of use.
   */
  schedule(
    request: RefusedRequest,
    earliestMs: number,
    intervalMs: number,
    now: number,
  ): number;
  /** Number of accounts with returns to come. */
  count(): number;
}

/** Number of accounts from which passed ones are searched for and removed. */
const MIN_SWEEP = 64;

/**
 * Step of the offsets at which the schedule starts again, as a share of the interval.
 * Multiples of the golden ratio never coincide, whatever the interval.
 */
const RESTART_STEP = 0.618;

/** The last return of an account. */
interface LastReturn {
  at: number;
  /** How often the schedule started again since the account was idle. */
  restarts: number;
}

/** Creates an empty schedule. */
export function createReturnSchedule(): ReturnSchedule {
  const lastReturns = new Map<string, LastReturn>();
  let sweepSize = MIN_SWEEP;

  function removePassed(now: number) {
    for (const [account, {at}] of lastReturns) {
      if (at <= now) lastReturns.delete(account);
    }
    sweepSize = Math.max(MIN_SWEEP, 2 * lastReturns.size);
  }

  return {
    schedule({account, deadline}, earliestMs, intervalMs, now) {
      const interval = Math.min(intervalMs, MAX_SERVICE_INTERVAL_MS);
      const earliest = now + earliestMs;
      const latest = now + MAX_RETURN_SHARE * (deadline - now);
      const last = lastReturns.get(account);
      const isIdle = !last || last.at + interval <= earliest;
      let returnAt = isIdle ? earliest : last.at + interval;
      let restarts = isIdle ? 0 : last.restarts;
      if (returnAt > latest) {
        const offset = (++restarts * RESTART_STEP) % 1;
        const room = Math.max(0, latest - earliest);
        returnAt = earliest + offset * Math.min(interval, room);
      }
      lastReturns.set(account, {at: returnAt, restarts});
      if (lastReturns.size > sweepSize) removePassed(now);
      return returnAt - now;
    },
    count: () => lastReturns.size,
  };
}
