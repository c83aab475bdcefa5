/**
 * The token bucket that an account would have if one process received all its requests.
 * A request that it grants is within the account's rate, so refusing it is wrongful.
 */

/** One account's ideal bucket. Times in ms. */
export interface IdealBucket {
  /** Takes a token if there is one; returns whether the request is within the rate. */
  draw(now: number): boolean;
}

/** Creates a full bucket. `rate` is in tokens per second. */
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
