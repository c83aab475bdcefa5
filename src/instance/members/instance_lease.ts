/**
 * The one lease row of an instance. Whatever the instance owns in the table
 * (segments, buckets, orders) is owned through this row, so renewal costs one
 * write for each instance and not one for each thing owned.
 *
 * Failure it answers: an owner is paused past its lease, another takes over,
 * and the first wakes and commits. Symptom: an item is answered twice. Taking
 * over first sets the row to `expired` by compare-and-set, and every commit of
 * an owner checks in its own transaction that its row is `held`: the table
 * orders the two, and no clock is compared with another.
 */
import {generateId} from '../../common/ids.js';
import type {
  Row,
  RowKey,
  TableStore,
  WriteOperation,
} from '../../stores/table_store.js';

const LEASES_PARTITION = 'leases';
const ADDRESSES_PARTITION = 'addresses';

/**
 * An owner that does not renew for this long may be taken over. Renewals are
 * the only store writes that grow with the fleet: 36 a second at 360 instances
 * (10 s leases cost 120, over a quarter of what the table gives). What must be
 * taken over faster does not wait for it: see releasePredecessor.
 */
export const LEASE_DURATION_MS = 30_000;

/** Renewed three times in a lease, so that two lost renewals do no harm. */
export const LEASE_RENEWAL_MS = 10_000;

/**
 * The owner stops using its lease this much before it could be taken over, so
 * that clocks that run at slightly different rates do no harm.
 */
export const LEASE_MARGIN_MS = 2000;

/** The lease of this instance. */
export interface InstanceLease {
  /** Changes after a lost lease: note it down with what is owned. */
  readonly incarnation: string;
  /** Whether this instance may act as owner at `now`, on its own clock. */
  isHeld(now: number): boolean;
  /**
   * Added to a transaction, makes it commit only while the lease is held.
   * What was owned under an earlier incarnation must be checked under that one.
   */
  buildCheck(incarnation?: string): WriteOperation;
  /** Takes or extends the lease; throws StoreError without an answer. */
  renew(now: number): Promise<void>;
  /** Ends it at once, so that others need not wait. */
  release(): Promise<void>;
}

/**
 * `incarnation` is unique to one run of the process. After a lost lease the
 * next renewal takes a new one of `generateIncarnation`: whoever saw the old
 * one expired may have taken over what it owned, so it can never be held again.
 */
export function createInstanceLease(
  table: TableStore,
  firstIncarnation: string,
  generateIncarnation: () => string = () => generateId('run'),
): InstanceLease {
  let incarnation = firstIncarnation;
  let key = buildLeaseKey(incarnation);
  let version = 0;
  let heldUntil = -Infinity;
  let lost = false;
  let released = false;

  async function writeState(state: 'held' | 'released'): Promise<boolean> {
    const outcome = await table.transact([
      {
        kind: 'put',
        key,
        fields: {state},
        condition:
          version === 0 ? {kind: 'absent'} : {kind: 'version', version},
      },
    ]);
    if (outcome.kind === 'committed') version++;
    return outcome.kind === 'committed';
  }

  /**
   * A renewal whose answer was lost makes the next one conflict with itself;
   * the row then still says `held`, and its version is the one to go on from.
   */
  async function readVersionBack(): Promise<void> {
    const row = await table.get(key);
    lost = row !== undefined && row.fields.state !== 'held';
    version = row?.version ?? 0;
  }

  function startNewIncarnation() {
    incarnation = generateIncarnation();
    key = buildLeaseKey(incarnation);
    version = 0;
    lost = false;
  }

  return {
    get incarnation() {
      return incarnation;
    },
    isHeld: now => !lost && now < heldUntil,
    buildCheck: (owner = incarnation) => ({
      kind: 'check',
      key: buildLeaseKey(owner),
      condition: {kind: 'fields', equals: {state: 'held'}},
    }),
    async renew(now) {
      if (released) return;
      if (lost) startNewIncarnation();
      if (await writeState('held')) {
        heldUntil = now + LEASE_DURATION_MS - LEASE_MARGIN_MS;
      } else await readVersionBack();
    },
    async release() {
      released = true;
      if (lost || version === 0) return;
      heldUntil = -Infinity;
      await writeState('released');
    },
  };
}

function buildLeaseKey(incarnation: string): RowKey {
  return {partition: LEASES_PARTITION, sort: incarnation};
}

/**
 * Ends the lease of the instance that had this address before. Having bound
 * the address proves that process dead, so nobody need wait for its lease.
 * Returns its incarnation, or undefined when there was none.
 */
export async function releasePredecessor(
  table: TableStore,
  address: string,
  incarnation: string,
): Promise<string | undefined> {
  const key = {partition: ADDRESSES_PARTITION, sort: address};
  const row = await table.get(key);
  const predecessor = row && String(row.fields.incarnation);
  if (predecessor === incarnation) return undefined;
  if (predecessor) await expireLease(table, predecessor);
  const condition: Extract<WriteOperation, {kind: 'put'}>['condition'] = row
    ? {kind: 'version', version: row.version}
    : {kind: 'absent'};
  await table.transact([{kind: 'put', key, fields: {incarnation}, condition}]);
  return predecessor;
}

async function expireLease(table: TableStore, incarnation: string) {
  const row = await table.get(buildLeaseKey(incarnation));
  if (row?.fields.state === 'held') await expireRow(table, row);
}

async function expireRow(table: TableStore, row: Row): Promise<boolean> {
  const outcome = await table.transact([
    {
      kind: 'put',
      key: row.key,
      fields: {state: 'expired'},
      condition: {kind: 'version', version: row.version},
    },
  ]);
  return outcome.kind === 'committed';
}

/** Judges the leases of other instances. */
export interface LeaseObserver {
  /**
   * Whether the owner's lease is over. A row unchanged for the length of a
   * lease, on this instance's own clock, is set to `expired` first.
   */
  checkOver(incarnation: string, now: number): Promise<boolean>;
}

interface Sighting {
  version: number;
  since: number;
}

/** Remembers since when each row was seen unchanged. */
export function createLeaseObserver(table: TableStore): LeaseObserver {
  const sightings = new Map<string, Sighting>();

  /**
   * While the store is down no owner can renew: time that passed before a
   * failed read proves nothing, or the first reader after an outage would
   * expire every lease of the fleet.
   */
  async function readRow(key: RowKey): Promise<Row | undefined> {
    try {
      return await table.get(key);
    } catch (error) {
      sightings.clear();
      throw error;
    }
  }

  return {
    async checkOver(incarnation, now) {
      const row = await readRow(buildLeaseKey(incarnation));
      if (!row || row.fields.state !== 'held') return true;
      const seen = sightings.get(incarnation);
      if (seen?.version !== row.version) {
        sightings.set(incarnation, {version: row.version, since: now});
        return false;
      }
      if (now - seen.since < LEASE_DURATION_MS) return false;
      sightings.delete(incarnation);
      return expireRow(table, row);
    },
  };
}
