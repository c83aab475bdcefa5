/**
 * The lease through which this instance owns segments. It is taken when there
 * is work and renewed while segments run. One that was lost (the instance was
 * paused, another expired it) is never used again: a new one takes its place,
 * and what was owned through the old one stays fenced.
 */
import type {TableStore} from '../../platform/table_store.js';
import {
  createInstanceLease,
  LEASE_RENEWAL_MS,
  type InstanceLease,
} from '../members/instance_lease.js';

/** Keeps a lease at hand. */
export interface LeaseKeeper {
  /** The lease when it may be used at `now`. */
  find(now: number): InstanceLease | undefined;
  /**
   * Takes or renews it when it is due; true when the lease that was held
   * before is lost. Throws StoreError without an answer.
   */
  renew(now: number): Promise<boolean>;
  release(): Promise<void>;
}

/** `incarnation` is unique to one run of the process. */
export function createLeaseKeeper(
  table: TableStore,
  incarnation: string,
): LeaseKeeper {
  let generation = 1;
  let lease = createInstanceLease(table, `${incarnation}.${generation}`);
  let renewedAt = -Infinity;

  function replaceLease() {
    generation++;
    lease = createInstanceLease(table, `${incarnation}.${generation}`);
  }

  return {
    find: now => (lease.isHeld(now) ? lease : undefined),
    async renew(now) {
      if (lease.isHeld(now) && now - renewedAt < LEASE_RENEWAL_MS) return false;
      await lease.renew(now);
      // A renewal that found its own lost answer only learned the version.
      if (!lease.isHeld(now)) await lease.renew(now);
      renewedAt = now;
      if (lease.isHeld(now)) return false;
      replaceLease();
      await lease.renew(now);
      return true;
    },
    release: () => lease.release(),
  };
}
