/**
 * Which instance gives orders to engines: one at a time, under its lease row.
 *
 * Failure it answers: an orderer is paused, another takes over and orders
 * something else, and the first wakes and orders what was wanted before.
 * Symptom: an engine serves the wrong model, and no one knows. Each orderer
 * has a fencing number, the version of the orderer's row, which an engine that
 * minds refuses once it has seen a higher one. For engines that do not mind, a
 * new orderer waits until orders of the one before can no longer arrive.
 */
import type {
  Row,
  TableStore,
  WriteOperation,
} from '../../stores/table_store.js';
import type {InstanceLease, LeaseObserver} from '../members/instance_lease.js';
import {ORDER_SETTLE_MS, ORDERER_KEY} from './constants.js';

/** The right to give orders. */
export interface Orderer {
  /** Takes the right if the one before has lost it; throws StoreError. */
  acquire(now: number): Promise<void>;
  /** The fencing number while this instance may order; undefined otherwise. */
  findFencing(now: number): number | undefined;
  /** Whether orders of the one before may still arrive. */
  isSettling(now: number): boolean;
  /** Added to a transaction, makes it commit only for the orderer. */
  buildChecks(): WriteOperation[];
  /** Stops until the next `acquire`. */
  drop(): void;
  /** Frees the row for another instance, once no order is under way. */
  release(): Promise<void>;
}

/** Starts without the right. */
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
    settleUntil = now + ORDER_SETTLE_MS;
  }

  function isMine(): boolean {
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
        // Also after a taking whose answer was lost.
        if (fencing !== row.version) noteOwned(row, now);
        return;
      }
      fencing = undefined;
      if (holder !== '' && !(await observer.checkOver(holder, now))) return;
      await takeRow(row, now);
    },
    findFencing: now => (isMine() && lease.isHeld(now) ? fencing : undefined),
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
