/**
 * The bucket an account would have if one process saw all its requests: what it
 * grants is inside the account's rate, so a refusal there is wrongful.
 */

/** One account's ideal bucket. Times in ms. */
export interface IdealBucket {
  /** Whether a request that arrives now is inside the rate. */
  draw(now: number): boolean;
}

/** Starts full. `rate` is in tokens a second. */
export function createIdealBucket(rate: number, burst: number): IdealBucket {
  let tokens = burst;
  let filledAt: number | undefined;

  return {
    draw(now) {
      const earned = ((now - (filledAt ?? now)) / 1000) * rate;
      tokens = Math.min(burst, tokens + Math.max(0, earned));
      filledAt = Math.max(now, filledAt ?? now);
      if (tokens < 1) return false;
      tokens--;
      return true;
    },
  };
}
