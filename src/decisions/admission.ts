/**
 * Whether an online request can be answered in time at all.
 *
 * Pattern of load: saturation. Without admission every request waits its whole
 * deadline to be told no, and slots go to answers that come too late to be of
 * use. With it, what cannot be in time is refused at once with a time to come
 * back, and what is let in is answered.
 *
 * The predicted wait is the request's place in fair order times the time
 * between slots that waiting requests got of late; its own time is predicted
 * from its size. While nothing waits, everything is let in. Without the answer's
 * own time, every request of a saturated account was granted just before its
 * deadline and cut off by it: 0 of 1088 answered in the play 'saturation'.
 *
 * A wait of more than MAX_WAIT_SHARE of the time left is refused too: a longer
 * queue answers no more, and all later (play 'saturation': goodput 40/s at 0.6,
 * 38 at 0.4, 37 at 0.25; median first token 2.1, 1.7 and 1.2 s). What waited and
 * no longer fits is given up; what need not wait is never refused, since the
 * size of an answer is the caller's guess.
 *
 * Callers of streams leave when nothing has come for a while, well before their
 * deadline. A request that would not have its slot by `startBy` is refused on
 * arrival too: it would hold its caller for nothing.
 */
import {
  AVERAGE_GAIN,
  MAX_WAIT_SHARE,
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

/** Whether a waiting request can no longer be answered in time. */
export function isDeadlineUnreachable(
  ownMs: number,
  deadline: number,
  now: number,
) {
  return now + ownMs > deadline;
}

/** A time to come back within its bounds, in whole ms. */
export function computeRetryAfter(ms: number): number {
  const bounded = Math.max(
    MIN_RETRY_AFTER_MS,
    Math.min(MAX_RETRY_AFTER_MS, ms),
  );
  return Math.ceil(bounded);
}
