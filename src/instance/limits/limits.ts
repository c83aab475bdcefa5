/**
 * Rate and burst of each client account across the whole fleet.
 */
import type {Clock} from '../../common/clock.js';
import type {AccountLimits} from '../configuration/service_document.js';

/** Whose bucket a request draws from. */
export interface BucketId {
  service: string;
  account: string;
}

/** Whether a request is inside its account's rate. */
export type LimitDecision =
  {kind: 'granted'} | {kind: 'refused'; retryAfterMs: number};

/** The fleet-wide limits as seen from this instance. */
export interface Limits {
  /**
   * Takes one token, waiting a short bounded time for it if need be.
   * `limits` are those of the document in force.
   */
  acquire(bucket: BucketId, limits: AccountLimits): Promise<LimitDecision>;
}

interface Bucket {
  tokens: number;
  filledAt: number;
}

/** One bucket for each account, on this instance alone. */
export function createLocalLimits(clock: Clock): Limits {
  const buckets = new Map<string, Bucket>();

  return {
    async acquire({service, account}, limits) {
      const now = clock.now();
      const id = `${service}/${account}`;
      const bucket = buckets.get(id) ?? {tokens: limits.burst, filledAt: now};
      const earned = ((now - bucket.filledAt) / 1000) * limits.rate;
      const tokens = Math.min(limits.burst, bucket.tokens + earned);
      const granted = tokens >= 1;
      buckets.set(id, {tokens: granted ? tokens - 1 : tokens, filledAt: now});
      if (granted) return {kind: 'granted'};
      return {
        kind: 'refused',
        retryAfterMs: ((1 - tokens) / limits.rate) * 1000,
      };
    },
  };
}
