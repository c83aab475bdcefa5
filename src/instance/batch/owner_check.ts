/** Judges whether owners of segments are gone, at a bounded cost in reads. */
import type {TableStore} from '../../stores/table_store.js';
import {createLeaseObserver} from '../members/instance_lease.js';
import {MAX_KNOWN_OWNERS, OWNER_CHECK_MS} from './constants.js';

/** Remembers what it saw of each owner. */
export interface OwnerChecker {
  /** Whether the lease is over; throws StoreError without an answer. */
  check(incarnation: string, now: number): Promise<boolean>;
  /**
   * Forgets since when leases were seen unchanged. While the store is down
   * nobody can renew: judging by a time that spans an outage would expire the
   * lease of every healthy owner the moment the store is back.
   */
  reset(): void;
}

interface Judgement {
  isOver: boolean;
  at: number;
}

/** One read for each owner every OWNER_CHECK_MS, however many segments it has. */
export function createOwnerCheck(table: TableStore): OwnerChecker {
  const judgements = new Map<string, Judgement>();
  let observer = createLeaseObserver(table);

  function expireOldest() {
    const [oldest] = judgements.keys();
    if (judgements.size > MAX_KNOWN_OWNERS) judgements.delete(oldest);
  }

  return {
    async check(incarnation, now) {
      const held = judgements.get(incarnation);
      if (held?.isOver) return true;
      if (held && now - held.at < OWNER_CHECK_MS) return false;
      const isOver = await observer.checkOver(incarnation, now);
      judgements.delete(incarnation);
      judgements.set(incarnation, {isOver, at: now});
      expireOldest();
      return isOver;
    },
    reset() {
      observer = createLeaseObserver(table);
    },
  };
}
