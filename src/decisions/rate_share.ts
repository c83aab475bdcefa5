/**
 * Limits an account's rate with a bucket that is filled at one instance's share
 * of it.
 *
 * Load pattern: one account sends several times its rate through all instances
 * at once. With a full bucket on each of ten instances, ten times the rate
 * passes. So one instance, the account's owner, holds the bucket, and the
 * others ask it for each request. Instances come and go within seconds, so two
 * more cases must stay within what the agreement allows beyond the rate (a
 * tenth, and some requests in 5 s):
 *
 * - A new owner does not know what the previous one granted. It starts with
 *   START_BURST_SHARE of the burst, plus what the rate earned since it became
 *   the owner. So its rate continues where the previous owner's ended, and an
 *   account that was quiet for a while has its full burst.
 * - An owner that does not see some of the known instances fills its bucket at
 *   the share of the rate that belongs to those it sees. An instance that is
 *   cut off from the owner has its own share. The shares of all sides add up to
 *   the rate.
 */
import type {BucketLimits} from './rate_bucket.js';

/** Share of the burst with which a bucket starts. */
export const START_BURST_SHARE = 0.1;

/**
 * Minimum size and initial level of a bucket, so that a single request passes.
 */
export const MIN_TOKENS = 1;

const MS_PER_S = 1000;

/** Rate in requests per second and burst in requests. */
export type ShareLimits = Pick<BucketLimits, 'rate' | 'burst'>;

/** One account's bucket on one instance. Times are in ms. */
export interface ShareBucket {
  /**
   * Takes a token. Returns 0 if there was one, otherwise the retry delay in ms.
   * `ownedSince` is when this instance became the one that decides.
   */
  take(
    limits: ShareLimits,
    share: number,
    ownedSince: number,
    now: number,
  ): number;
  /** Returns the token of a request that did not run. */
  refund(): void;
}

/** Creates a bucket that starts with START_BURST_SHARE of the burst. */
export function createShareBucket(): ShareBucket {
  let tokens: number | undefined;
  let filledAt: number | undefined;
  let cap = 0;

  function refill(
    {rate, burst}: ShareLimits,
    share: number,
    ownedSince: number,
    now: number,
  ): number {
    cap = Math.max(MIN_TOKENS, burst * share);
    const held = tokens ?? Math.max(MIN_TOKENS, cap * START_BURST_SHARE);
    const earned = (now - (filledAt ?? ownedSince)) * rate * share;
    const filled = Math.min(cap, held + earned / MS_PER_S);
    tokens = filled;
    filledAt = now;
    return filled;
  }

  return {
    take(limits, share, ownedSince, now) {
      const held = refill(limits, share, ownedSince, now);
      if (held >= 1) {
        tokens = held - 1;
        return 0;
      }
      return Math.ceil(((1 - held) * MS_PER_S) / (limits.rate * share));
    },
    refund() {
      if (tokens !== undefined) tokens = Math.min(cap, tokens + 1);
    },
  };
}
