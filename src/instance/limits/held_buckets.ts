/** The buckets that this instance holds, and by which right. */
import {
  createRateBucket,
  type BucketLevel,
  type BucketLimits,
  type RateBucket,
} from '../../decisions/rate_bucket.js';
import {RECOVERY_MS} from '../../decisions/rate_constants.js';
import type {HolderRight, RateView} from '../../decisions/rate_view.js';

/** A view and this instance's right to act in it. */
export interface HeldView {
  view: RateView;
  right: HolderRight;
}

/** One bucket. */
export interface HeldBucket {
  id: string;
  /** Tells this ledger from any other of the same bucket. */
  tag: string;
  ledger: RateBucket;
  limits: BucketLimits;
  /**
   * The view whose row is in the table. While a write that moves it is unclear
   * there are two, and both must allow a grant.
   */
  views: HeldView[];
  recoveringUntil: number;
  /** The reserve is being taken back. */
  lowering: boolean;
}

/** All of them. */
export interface HeldBuckets {
  find(id: string): HeldBucket | undefined;
  list(): HeldBucket[];
  add(
    id: string,
    view: HeldView,
    limits: BucketLimits,
    level: BucketLevel,
    isTakeover: boolean,
    now: number,
  ): HeldBucket;
  remove(id: string): void;
  /** Drops every bucket that needs this view. */
  removeView(run: string): void;
  clear(): void;
}

/** Starts with none. `owner` makes tags unique over the fleet. */
export function createHeldBuckets(owner: () => string): HeldBuckets {
  const buckets = new Map<string, HeldBucket>();
  let ledgers = 0;

  return {
    find: id => buckets.get(id),
    list: () => [...buckets.values()],
    add(id, view, limits, level, isTakeover, now) {
      const bucket: HeldBucket = {
        id,
        tag: `${owner()}/${++ledgers}`,
        ledger: createRateBucket(limits, level, now),
        limits,
        views: [view],
        recoveringUntil: isTakeover ? now + RECOVERY_MS : -Infinity,
        lowering: false,
      };
      buckets.set(id, bucket);
      return bucket;
    },
    clear: () => buckets.clear(),
    remove: id => void buckets.delete(id),
    removeView(run) {
      for (const [id, {views}] of buckets) {
        if (views.some(({view}) => view.run === run)) buckets.delete(id);
      }
    },
  };
}
