/**
 * Decides whether a failed try may be made again.
 *
 * Pattern of load: endpoints fail or go silent while load is high. Without a
 * budget each request is tried up to its bound, so the load on what is left
 * multiplies just when it can least bear it, and stays there after the cause
 * is gone.
 *
 * Each new request earns a tenth of a retry, so that with every try failing
 * the load grows by a tenth at the most. A reserve lets a lone failure at low
 * traffic, and the requests that were on a failure domain when it went, be
 * tried again at once: at 1,700 requests a second over 360 instances and about
 * 8 s an answer, an instance has 38 requests open, half of them in one of its
 * region's two failure domains; 20 covers these. The reserve comes back in 40 s
 * by itself, so that an instance with little traffic regains it between two
 * failures. The test beside it plays both patterns.
 */

/** Retries earned by each new request. */
export const RETRIES_PER_REQUEST = 0.1;

/** Most retries that can be saved up. */
export const MAX_SAVED_RETRIES = 20;

/** Retries earned by time alone, a second. */
export const RETRIES_PER_SECOND = 0.5;

/** Retries left. Times in ms on the caller's monotonic clock. */
export interface RetryBudget {
  readonly retries: number;
  readonly at: number;
}

/** Begins with the whole reserve. */
export function createRetryBudget(now: number): RetryBudget {
  return {retries: MAX_SAVED_RETRIES, at: now};
}

/** A new request has come. */
export function noteRequest(budget: RetryBudget, now: number): RetryBudget {
  return addRetries(budget, RETRIES_PER_REQUEST, now);
}

/** Takes one retry if there is one. */
export function drawRetry(
  budget: RetryBudget,
  now: number,
): {granted: boolean; budget: RetryBudget} {
  const refilled = addRetries(budget, 0, now);
  if (refilled.retries < 1) return {granted: false, budget: refilled};
  const left = {...refilled, retries: refilled.retries - 1};
  return {granted: true, budget: left};
}

/** Gives back a retry that was drawn and not made. */
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
