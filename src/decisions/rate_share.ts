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
 *   START_BURST_SHARE of the burst and what the rate has given since it became
 *   the owner. Its rate takes over where the other's ended, and an account that
 *   was quiet for a while has its whole burst.
 * - An owner that misses some of the known instances fills its bucket with the
 *   share of the rate that belongs to those it sees; one that is cut off from
 *   the owner has its own share. Shares of all sides add up to the rate.
 */
import type {BucketLimits} from './rate_bucket.js';

/** Of the burst, what a bucket starts with. */
export const START_BURST_SHARE = 0.1;

/** Least tokens a bucket starts with and holds: a lone request is let through. */
export const MIN_TOKENS = 1;

const MS_PER_S = 1000;

/** Rate in requests a second and burst in requests. */
export type ShareLimits = Pick<BucketLimits, 'rate' | 'burst'>;

/** One account's bucket on one instance. Times in ms. */
export interface ShareBucket {
  /**
   * 0 when a token was taken, else when to come back, in ms. `ownedSince` is
   * when this instance became the one to decide.
   */
  take(
    limits: ShareLimits,
    share: number,
    ownedSince: number,
    now: number,
  ): number;
  /** Gives a token back whose request did not run. */
  refund(): void;
}

/** Starts with a part of the burst. */
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
