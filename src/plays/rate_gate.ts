/** Rate limits as a play sees them: an exact fleet-wide bucket and others. */
import type {PlayAccount} from './play_schema.js';

/** Decides whether a request is inside its account's rate. */
export interface RateGate {
  /** Takes a token at `instance` when there is one. */
  decide(account: string, instance: number, now: number): boolean;
}

/** Makes the gate of one play. */
export type RateGateFactory = (
  accounts: readonly PlayAccount[],
  instances: number,
) => RateGate;

interface Bucket {
  tokens: number;
  filledAt: number;
}

function createBuckets() {
  const buckets = new Map<string, Bucket>();
  return {
    draw(id: string, rate: number, burst: number, now: number): boolean {
      const bucket = buckets.get(id) ?? {tokens: burst, filledAt: now};
      buckets.set(id, bucket);
      const earned = ((now - bucket.filledAt) / 1000) * rate;
      bucket.tokens = Math.min(burst, bucket.tokens + earned);
      bucket.filledAt = now;
      if (bucket.tokens < 1) return false;
      bucket.tokens--;
      return true;
    },
  };
}

/** One bucket for each account over the whole fleet: what the promise says. */
export const createExactGate: RateGateFactory = accounts => {
  const limits = new Map(accounts.map(account => [account.name, account]));
  const buckets = createBuckets();
  return {
    decide(name, _instance, now) {
      const {rate, burst} = limits.get(name)!;
      return buckets.draw(name, rate, burst, now);
    },
  };
};

/** Each instance has a fixed part of every rate and burst: a baseline. */
export const createDividedGate: RateGateFactory = (accounts, instances) => {
  const limits = new Map(accounts.map(account => [account.name, account]));
  const buckets = createBuckets();
  return {
    decide(name, instance, now) {
      const {rate, burst} = limits.get(name)!;
      const id = `${name}/${instance}`;
      return buckets.draw(id, rate / instances, burst / instances, now);
    },
  };
};
