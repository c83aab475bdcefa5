/**
 * What a fleet may have granted at most, and what an ideal bucket would have
 * granted. Both see every request at its true time.
 */

/** Rate in tokens a second, and burst. */
export interface OracleLimits {
  rate: number;
  burst: number;
}

/** One ideal token bucket. */
export interface IdealBucket {
  setLimits(limits: OracleLimits, now: number): void;
  /** Takes a token if there is one. */
  take(now: number): boolean;
  /** Takes a token whether there is one or not; returns what is left. */
  force(now: number): number;
}

/** Starts full. */
export function createIdealBucket(initial: OracleLimits): IdealBucket {
  let limits = initial;
  let level = limits.burst;
  let filledAt = 0;

  function refill(now: number) {
    const earned = ((now - filledAt) / 1000) * limits.rate;
    level = Math.min(limits.burst, level + earned);
    filledAt = now;
  }

  return {
    setLimits(next, now) {
      refill(now);
      limits = next;
      level = Math.min(level, limits.burst);
    },
    take(now) {
      refill(now);
      if (level < 1 - 1e-9) return false;
      level--;
      return true;
    },
    force(now) {
      refill(now);
      level--;
      return level;
    },
  };
}

/**
 * Sums grants over every window: a bucket that is taken from without asking
 * never goes below zero if and only if no window held more than
 * rate x t + burst.
 */
export interface RateOracle {
  setLimits(limits: OracleLimits, now: number): void;
  noteGrant(now: number): void;
  /** Tokens that the worst window held too many; 0 when none did. */
  readonly excess: number;
  readonly granted: number;
}

/** For one account. */
export function createRateOracle(limits: OracleLimits): RateOracle {
  const bucket = createIdealBucket(limits);
  let excess = 0;
  let granted = 0;
  return {
    setLimits: bucket.setLimits,
    noteGrant(now) {
      granted++;
      const left = bucket.force(now);
      if (left < -1e-6) excess = Math.max(excess, -left);
    },
    get excess() {
      return excess;
    },
    get granted() {
      return granted;
    },
  };
}
