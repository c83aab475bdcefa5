/**
 * Decides whether a failed attempt may be retried.
 *
 * Load pattern: endpoints fail or go silent under high load. Without a budget,
 * each request is attempted up to its maximum. The load on the remaining
 * endpoints multiplies just when they can bear it least, and stays high after
 * the cause is gone.
 *
 * Each new request earns a tenth of a retry, so the load grows by at most a
 * tenth even if every attempt fails. A reserve allows immediate retries after a
 * single failure at low traffic, and for the open requests of a lost failure
 * domain. At 1,700 requests per second over 360 instances and about 8 s per
 * answer, an instance has 38 open requests, half of them in one of the two
 * failure domains of its region; a reserve of 20 covers these. It refills by
 * time alone within 40 s, so that an instance with little traffic regains it
 * between two failures. The test of this module simulates both cases.
 */

/** Retries earned by each new request. */
export const RETRIES_PER_REQUEST = 0.1;

/** Maximum number of retries in reserve. */
export const MAX_SAVED_RETRIES = 20;

/** Retries earned by time alone, per second. */
export const RETRIES_PER_SECOND = 0.5;

/** Retries left at a time, in ms of the caller's monotonic clock. */
export interface RetryBudget {
  readonly retries: number;
  readonly at: number;
}

/** Creates a budget with a full reserve. */
export function createRetryBudget(now: number): RetryBudget {
  return {retries: MAX_SAVED_RETRIES, at: now};
}

/** Credits the budget for a new request. */
export function noteRequest(budget: RetryBudget, now: number): RetryBudget {
  return addRetries(budget, RETRIES_PER_REQUEST, now);
}

/** Takes one retry if one is left. */
export function drawRetry(
  budget: RetryBudget,
  now: number,
): {granted: boolean; budget: RetryBudget} {
  const refilled = addRetries(budget, 0, now);
  if (refilled.retries < 1) return {granted: false, budget: refilled};
  const left = {...refilled, retries: refilled.retries - 1};
  return {granted: true, budget: left};
}

/** Returns a retry that was drawn but not used. */
export function releaseRetry(budget: RetryBudget, now: number): RetryBudget {
  return addRetries(budget, 1, now);
}

function addRetries(
  budget: RetryBudget,
  earned: number,
  now: number,
): RetryBudget {
  const byTime = (Math.max(0, now - budget.at) / 1000) * RETRIES_PER_SECOND;
  const retries = budget.retries + earned + byTime;
  return {retries: Math.min(MAX_SAVED_RETRIES, retries), at: now};
}
