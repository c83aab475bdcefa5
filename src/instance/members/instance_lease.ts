/**
 * The lease row of an instance. Everything that the instance owns in the table
 * (segments, buckets, orders) is owned through this row, so a renewal costs one
 * write per instance instead of one per owned thing.
 *
 * Failure: an owner is paused past its lease, another instance takes over, and
 * the first one resumes and commits, so an item is answered twice. A takeover
 * therefore first sets the row to `expired` by compare-and-set, and every
 * commit of an owner checks in its own transaction that its row is `held`. The
 * table orders the two writes, so no two clocks are compared.
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
 * the only store writes that grow with the fleet: 36 per second at 360
 * instances. Leases of 10 s would cost 120 per second, over a quarter of the
 * table's write capacity. Takeovers that must be faster do not wait for the
 * lease: see releasePredecessor.
 */
export const LEASE_DURATION_MS = 30_000;

/** 3 renewals per lease, so that two lost renewals do no harm. */
export const LEASE_RENEWAL_INTERVAL_MS = 10_000;

/**
 * The owner stops using its lease this long before others may take it over, so
 * that clocks running at slightly different rates do no harm.
 */
export const LEASE_MARGIN_MS = 2000;

/** The lease of this instance. */
export interface InstanceLease {
  /** Changes after a lost lease. Store it with everything that is owned. */
  readonly incarnation: string;
  /** Whether this instance may act as owner at `now`, on its own clock. */
  isHeld(now: number): boolean;
  /**
   * An operation that lets a transaction commit only while the lease is held.
   * What was acquired under an earlier incarnation must be checked with that
   * one.
   */
  buildCheck(incarnation?: string): WriteOperation;
  /**
   * Acquires or extends the lease. Throws StoreError if the store does not
   * respond.
   */
  renew(now: number): Promise<void>;
  /** Ends the lease at once, so that others need not wait for its expiry. */
  release(): Promise<void>;
}

/**
 * `firstIncarnation` is unique to one run of the process. After a lost lease
 * the next renewal takes a new one from `generateIncarnation`: an instance that
 * saw the old one expired may have taken over what it owned, so the old one can
 * never be held again.
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
   * Reads the row after a conflict. If the response to a renewal was lost, the
   * next renewal conflicts with it. The row then still says `held`, and
   * renewals continue from its version.
   */
  async function refreshVersion(): Promise<void> {
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
      } else await refreshVersion();
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
 * Ends the lease of the instance that had this address before. Having bound the
 * address proves that the earlier process is dead, so no instance needs to wait
 * until its lease expires. Returns its incarnation, or undefined if there was
 * none.
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

/** Observes the leases of other instances. */
export interface LeaseObserver {
  /**
   * Whether the owner's lease has ended. A row that stayed unchanged for the
   * duration of a lease, on this instance's own clock, is set to `expired`
   * first.
   */
  checkExpired(incarnation: string, now: number): Promise<boolean>;
}

interface Observation {
  version: number;
  since: number;
}

/**
 * Creates an observer that remembers since when each row has been unchanged.
 */
export function createLeaseObserver(table: TableStore): LeaseObserver {
  const observations = new Map<string, Observation>();

  /**
   * While the store is down no owner can renew, so time that passed before a
   * failed read does not count. Otherwise the first reader after an outage
   * would expire every lease of the fleet.
   */
  async function readRow(key: RowKey): Promise<Row | undefined> {
    try {
      return await table.get(key);
    } catch (error) {
      observations.clear();
      throw error;
    }
  }

  return {
    async checkExpired(incarnation, now) {
      const row = await readRow(buildLeaseKey(incarnation));
      if (!row || row.fields.state !== 'held') return true;
      const seen = observations.get(incarnation);
      if (seen?.version !== row.version) {
        observations.set(incarnation, {version: row.version, since: now});
        return false;
      }
      if (now - seen.since < LEASE_DURATION_MS) return false;
      observations.delete(incarnation);
      return expireRow(table, row);
    },
  };
}
