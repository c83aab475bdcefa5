/** Rate limits of a simulation: exact over the whole fleet, or a baseline. */
import type {ScenarioAccount} from './scenario_schema.js';

/** Decides whether a request is inside its account's rate. */
export interface RateGate {
  /** Takes a token at `instance`; returns false if none is available. */
  decide(account: string, instance: number, now: number): boolean;
}

/** Creates the gate of one simulation. */
export type RateGateFactory = (
  accounts: readonly ScenarioAccount[],
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

/** One bucket per account over the whole fleet, as the product guarantees. */
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

/** Baseline: each instance has an equal, fixed part of every rate and burst. */
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
