/**
 * Determines which instance may send orders to engines: one at a time, under
 * its lease row.
 *
 * Failure: an orderer is paused, another one takes over and sends different
 * orders, and the first one resumes and sends an outdated order. The engine
 * then serves the wrong model, and nobody notices. Therefore each orderer has a
 * fencing number, the version of the orderer's row. An engine that enforces
 * fencing refuses an order once it has seen a higher number. For engines that
 * ignore fencing, a new orderer waits until orders of the previous one can no
 * longer arrive.
 */
import type {
  Row,
  TableStore,
  WriteOperation,
} from '../../stores/table_store.js';
import type {InstanceLease, LeaseObserver} from '../members/instance_lease.js';
import {ORDER_SETTLE_TIME_MS, ORDERER_KEY} from './constants.js';

/** The right to send orders. */
export interface Orderer {
  /** Takes the right if the previous orderer has lost it. Throws StoreError. */
  acquire(now: number): Promise<void>;
  /**
   * The fencing number while this instance may send orders; otherwise
   * undefined.
   */
  findFencing(now: number): number | undefined;
  /** Whether orders of the previous orderer may still arrive. */
  isSettling(now: number): boolean;
  /**
   * Operations that let a transaction commit only if this instance is the
   * orderer.
   */
  buildChecks(): WriteOperation[];
  /** Sends no more orders until the next `acquire`. */
  drop(): void;
  /**
   * Makes the row available to other instances. Call it only when no order is
   * in flight.
   */
  release(): Promise<void>;
}

/** Creates an orderer that does not have the right yet. */
export function createOrderer(
  table: TableStore,
  lease: InstanceLease,
  observer: LeaseObserver,
): Orderer {
  let fencing: number | undefined;
  let owner = '';
  let settleUntil = -Infinity;
  let mayOwn = false;

  function noteOwned(row: {version: number}, now: number) {
    fencing = row.version;
    owner = lease.incarnation;
    settleUntil = now + ORDER_SETTLE_TIME_MS;
  }

  function isOwner(): boolean {
    return fencing !== undefined && owner === lease.incarnation;
  }

  async function takeRow(row: Row | undefined, now: number) {
    const version = row?.version ?? 0;
    mayOwn = true;
    const outcome = await table.transact([
      {
        kind: 'put',
        key: ORDERER_KEY,
        fields: {owner: lease.incarnation},
        condition:
          version === 0 ? {kind: 'absent'} : {kind: 'version', version},
      },
      lease.buildCheck(),
    ]);
    if (outcome.kind === 'committed') noteOwned({version: version + 1}, now);
  }

  return {
    async acquire(now) {
      if (!lease.isHeld(now)) return;
      const row = await table.get(ORDERER_KEY);
      const holder = String(row?.fields.owner ?? '');
      if (row && holder === lease.incarnation) {
        // Reached also after a takeover whose response was lost.
        if (fencing !== row.version) noteOwned(row, now);
        return;
      }
      fencing = undefined;
      if (holder !== '' && !(await observer.checkExpired(holder, now))) return;
      await takeRow(row, now);
    },
    findFencing: now => (isOwner() && lease.isHeld(now) ? fencing : undefined),
    isSettling: now => now < settleUntil,
    buildChecks: () => [
      {
        kind: 'check',
        key: ORDERER_KEY,
        condition: {kind: 'fields', equals: {owner}},
      },
      lease.buildCheck(owner),
    ],
    drop() {
      fencing = undefined;
    },
    async release() {
      if (!mayOwn) return;
      fencing = undefined;
      const row = await table.get(ORDERER_KEY);
      if (row?.fields.owner !== lease.incarnation) {
        mayOwn = false;
        return;
      }
      const condition = {kind: 'version', version: row.version} as const;
      const fields = {owner: ''};
      await table.transact([
        {kind: 'put', key: ORDERER_KEY, fields, condition},
      ]);
    },
  };
}
