/**
 * Whether an online request can be answered in time at all.
 *
 * Pattern of load: saturation. Without admission every request waits its whole
 * deadline to be told no, and slots go to answers that come too late to be of
 * use. With it, what cannot be in time is refused at once with a time to come
 * back, and what is let in is answered.
 *
 * The predicted wait is the request's place in fair order divided by the rate
 * at which waiting requests got slots of late. It refuses only when the wait
 * alone, without the answer's own time, passes the deadline: prediction errs,
 * and a wrongful refusal costs its caller more than a late place in the queue.
 */
import {
  AVERAGE_GAIN,
  MAX_RETRY_AFTER_MS,
  MIN_RETRY_AFTER_MS,
} from './scheduler_constants.js';

/** How fast a queue drains. */
export interface DrainRate {
  /** A waiting request got a slot. */
  note(now: number): void;
  /** The queue became empty: the time until the next grant says nothing. */
  reset(): void;
  /** Expected wait at a place of the queue; 0 as long as nothing is known. */
  estimateWait(position: number): number;
}

/** Starts knowing nothing. */
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

/** Undefined when it may wait, otherwise when to come back, in ms. */
export function decideAdmission(
  waitMs: number,
  firstByteMs: number,
  deadline: number,
  now: number,
): number | undefined {
  const excess = now + waitMs + firstByteMs - deadline;
  if (excess <= 0) return undefined;
  return computeRetryAfter(excess);
}

/** A time to come back within its bounds, in whole ms. */
export function computeRetryAfter(ms: number): number {
  const bounded = Math.max(
    MIN_RETRY_AFTER_MS,
    Math.min(MAX_RETRY_AFTER_MS, ms),
  );
  return Math.ceil(bounded);
}
