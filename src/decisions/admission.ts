/**
 * Decides whether an online request can be answered in time at all.
 *
 * Load pattern: saturation. Without admission control, every request waits
 * until its deadline to be refused, and slots go to answers that come too late
 * to be of use. With it, a request that cannot be in time is refused at once
 * with a retry delay, and an admitted request is answered.
 *
 * The predicted wait is the position of the request in fair order, multiplied
 * by the recent time between slots granted to waiting requests. Its own run
 * time, predicted from its size, is added. Without it, every request of a
 * saturated account was granted just before its deadline and then cut off by
 * it: 0 of 1088 were answered in the simulation 'saturation'. While nothing
 * waits, every request is admitted.
 *
 * A wait of more than MAX_WAIT_SHARE of the time left is refused as well, since
 * a longer queue only delays all answers without adding any (simulation
 * 'saturation': goodput 40/s at 0.6, 38 at 0.4, 37 at 0.25; median first token
 * 2.1, 1.7 and 1.2 s). A waiting request that can no longer be in time is
 * refused. A request that need not wait is never refused, since the size of its
 * answer is only the caller's estimate.
 *
 * Callers of streams disconnect when nothing has arrived for a while, well
 * before their deadline. So a request that would not have its slot by `startBy`
 * is also refused on arrival.
 */
import {
  AVERAGE_GAIN,
  MAX_WAIT_SHARE,
  MAX_RETRY_AFTER_MS,
  MIN_RETRY_AFTER_MS,
} from './scheduler_constants.js';

/** The rate at which a queue drains. */
export interface DrainRate {
  /** Records that a waiting request got a slot. */
  note(now: number): void;
  /**
   * Call when the queue is empty: the time until the next grant does not count.
   */
  reset(): void;
  /** Expected wait at a queue position, in ms; 0 while unknown. */
  estimateWait(position: number): number;
}

/** Creates a drain rate without observations. */
export function createDrainRate(): DrainRate {
  let gapMs: number | undefined;
  let lastAt: number | undefined;

  return {
    note(now) {
      if (lastAt !== undefined) {
        const seen = now - lastAt;
        gapMs =
          gapMs === undefined ? seen : gapMs + AVERAGE_GAIN * (seen - gapMs);
      }
      lastAt = now;
    },
    reset() {
      lastAt = undefined;
    },
    estimateWait: position => position * (gapMs ?? 0),
  };
}

/**
 * Returns undefined if the request may wait, otherwise the retry delay in ms.
 */
export function decideAdmission(
  waitMs: number,
  ownMs: number,
  {deadline, startBy = Infinity}: {deadline: number; startBy?: number},
  now: number,
): number | undefined {
  const slack = deadline - now;
  const excess = Math.max(
    waitMs + ownMs - slack,
    waitMs - MAX_WAIT_SHARE * slack,
    waitMs - (startBy - now),
  );
  if (excess <= 0) return undefined;
  return computeRetryAfter(excess);
}

/** Whether a waiting request can no longer be answered by its deadline. */
export function isDeadlineUnreachable(
  ownMs: number,
  deadline: number,
  now: number,
) {
  return now + ownMs > deadline;
}

/** Rounds a retry delay up to whole ms and clamps it to its bounds. */
export function computeRetryAfter(ms: number): number {
  const bounded = Math.max(
    MIN_RETRY_AFTER_MS,
    Math.min(MAX_RETRY_AFTER_MS, ms),
  );
  return Math.ceil(bounded);
}
