/** The buckets that this instance holds, and the views that permit it. */
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

/** A bucket that this instance holds. */
export interface HeldBucket {
  id: string;
  /** Distinguishes this ledger from any other of the same bucket. */
  tag: string;
  ledger: RateBucket;
  limits: BucketLimits;
  /**
   * The view that the bucket's row names. There are two while the outcome of a
   * write that moves the bucket is unknown, and both must allow a grant.
   */
  views: HeldView[];
  recoveringUntil: number;
  /** Whether the standby is being notified that the reserve is released. */
  isReleasingReserve: boolean;
}

/** All buckets that this instance holds. */
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
  /** Removes every bucket that needs this view. */
  removeView(run: string): void;
  clear(): void;
}

/** Creates an empty set. `owner` makes tags unique over the fleet. */
export function createHeldBuckets(owner: () => string): HeldBuckets {
  const buckets = new Map<string, HeldBucket>();
  let ledgerCount = 0;

  return {
    find: id => buckets.get(id),
    list: () => [...buckets.values()],
    add(id, view, limits, level, isTakeover, now) {
      const bucket: HeldBucket = {
        id,
        tag: `${owner()}/${++ledgerCount}`,
        ledger: createRateBucket(limits, level, now),
        limits,
        views: [view],
        recoveringUntil: isTakeover ? now + RECOVERY_MS : -Infinity,
        isReleasingReserve: false,
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
