/** Checks whether the leases of segment owners have expired, with few reads. */
import type {TableStore} from '../../stores/table_store.js';
import {createLeaseObserver} from '../members/instance_lease.js';
import {MAX_CACHED_OWNERS, OWNER_CHECK_INTERVAL_MS} from './constants.js';

/** Checks the leases of owners and caches the results. */
export interface OwnerChecker {
  /** Whether the lease has expired; throws StoreError. */
  check(incarnation: string, now: number): Promise<boolean>;
  /**
   * Restarts the observation of how long leases have been unchanged. While the
   * store is down, no owner can renew its lease. Counting an outage as time
   * without renewal would expire the lease of every healthy owner as soon as
   * the store is available again.
   */
  reset(): void;
}

interface LeaseCheck {
  isExpired: boolean;
  at: number;
}

/**
 * Creates a checker that reads the lease of each owner once per
 * OWNER_CHECK_INTERVAL_MS, regardless of the number of its segments.
 */
export function createOwnerCheck(table: TableStore): OwnerChecker {
  const checks = new Map<string, LeaseCheck>();
  let observer = createLeaseObserver(table);

  function evictOldest() {
    const [oldest] = checks.keys();
    if (checks.size > MAX_CACHED_OWNERS) checks.delete(oldest);
  }

  return {
    async check(incarnation, now) {
      const cached = checks.get(incarnation);
      if (cached?.isExpired) return true;
      if (cached && now - cached.at < OWNER_CHECK_INTERVAL_MS) return false;
      const isExpired = await observer.checkExpired(incarnation, now);
      checks.delete(incarnation);
      checks.set(incarnation, {isExpired, at: now});
      evictOldest();
      return isExpired;
    },
    reset() {
      observer = createLeaseObserver(table);
    },
  };
}
