/**
 * Computes how much a fleet may grant at most, and how much an ideal token
 * bucket would grant. Both see every request at its true time.
 */

/** Rate in tokens per second, and burst in tokens. */
export interface OracleLimits {
  rate: number;
  burst: number;
}

/** An ideal token bucket. */
export interface IdealBucket {
  setLimits(limits: OracleLimits, now: number): void;
  /** Takes a token if one is available; returns whether it did. */
  take(now: number): boolean;
  /** Takes a token even if none is available; returns the level, maybe below 0. */
  debit(now: number): number;
}

/** Creates a full bucket. */
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
    debit(now) {
      refill(now);
      level--;
      return level;
    },
  };
}

/**
 * Checks grants over every time window. It takes a token from an ideal bucket
 * for each grant, without a check: the level never falls below 0 if and only if
 * no window of length t held more than rate x t + burst grants.
 */
export interface RateOracle {
  setLimits(limits: OracleLimits, now: number): void;
  noteGrant(now: number): void;
  /** Number of tokens by which the worst window exceeded its limit, or 0. */
  readonly excess: number;
  readonly granted: number;
}

/** Creates the oracle for one account. */
export function createRateOracle(limits: OracleLimits): RateOracle {
  const bucket = createIdealBucket(limits);
  let excess = 0;
  let granted = 0;
  return {
    setLimits: bucket.setLimits,
    noteGrant(now) {
      granted++;
      const level = bucket.debit(now);
      if (level < -1e-6) excess = Math.max(excess, -level);
    },
    get excess() {
      return excess;
    },
    get granted() {
      return granted;
    },
  };
}
