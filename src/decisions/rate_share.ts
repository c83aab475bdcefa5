/**
 * An account's bucket, filled with one instance's share of its rate.
 *
 * Pattern of load: one account sends several times its rate through every
 * instance at once. With a bucket on each instance, ten instances let ten
 * times the rate through. Here one instance, the account's owner, holds the
 * whole bucket; the others ask it for each request. Instances come and go
 * within seconds, so two more cases must stay within what the agreement allows
 * on top of the rate (a tenth and some requests in 5 s):
 *
 * - A new owner does not know what the last one granted, and starts with
 *   START_BURST_SHARE of the burst. Its rate takes over where the other's ended.
 * - An owner that misses some of the known instances fills its bucket with the
 *   share of the rate that belongs to those it sees; one that is cut off from
 *   the owner has its own share. Shares of all sides add up to the rate.
 */
import type {BucketLimits} from './rate_bucket.js';

/** Of the burst, what a bucket starts with. */
export const START_BURST_SHARE = 0.1;

/** Least tokens a bucket starts with and holds: a lone request is let through. */
export const MIN_TOKENS = 1;

/** Rate in requests a second and burst in requests. */
export type ShareLimits = Pick<BucketLimits, 'rate' | 'burst'>;

/** One account's bucket on one instance. Times in ms. */
export interface ShareBucket {
  /** 0 when a token was taken, else when to come back, in ms. */
  take(limits: ShareLimits, share: number, now: number): number;
  /** Gives a token back whose request did not run. */
  refund(): void;
}

/** Starts with a part of the burst. */
export function createShareBucket(): ShareBucket {
  let tokens: number | undefined;
  let filledAt = 0;
  let cap = 0;

  function refill({rate, burst}: ShareLimits, share: number, now: number) {
    cap = Math.max(MIN_TOKENS, burst * share);
    const held = tokens ?? Math.max(MIN_TOKENS, cap * START_BURST_SHARE);
    const earned = tokens === undefined ? 0 : (now - filledAt) * rate * share;
    tokens = Math.min(cap, held + earned / 1000);
    filledAt = now;
    return tokens;
  }

  return {
    take(limits, share, now) {
      const held = refill(limits, share, now);
      if (held >= 1) {
        tokens = held - 1;
        return 0;
      }
      return Math.ceil(((1 - held) * 1000) / (limits.rate * share));
    },
    refund() {
      if (tokens !== undefined) tokens = Math.min(cap, tokens + 1);
    },
  };
}
