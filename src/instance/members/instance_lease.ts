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
import type {
  Row,
  TableStore,
  WriteOperation,
} from '../../platform/table_store.js';

const LEASES_PARTITION = 'leases';

/** An owner that does not renew for this long may be taken over. */
export const LEASE_DURATION_MS = 10_000;

/** Renewed three times in a lease, so that two lost renewals do no harm. */
export const LEASE_RENEWAL_MS = 3000;

/**
 * The owner stops using its lease this much before it could be taken over, so
 * that clocks that run at slightly different rates do no harm.
 */
export const LEASE_MARGIN_MS = 1000;

/** The lease of this instance. */
export interface InstanceLease {
  readonly incarnation: string;
  /** Whether this instance may act as owner at `now`, on its own clock. */
  isHeld(now: number): boolean;
  /** Added to a transaction, makes it commit only while the lease is held. */
  buildCheck(): WriteOperation;
  /** Takes or extends the lease; throws StoreError without an answer. */
  renew(now: number): Promise<void>;
  /** Ends it at once, so that others need not wait. */
  release(): Promise<void>;
}

/** `incarnation` is unique to one run of the process. */
export function createInstanceLease(
  table: TableStore,
  incarnation: string,
): InstanceLease {
  const key = {partition: LEASES_PARTITION, sort: incarnation};
  let version = 0;
  let heldUntil = -Infinity;
  let lost = false;

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

  return {
    incarnation,
    isHeld: now => !lost && now < heldUntil,
    buildCheck: () => ({
      kind: 'check',
      key,
      condition: {kind: 'fields', equals: {state: 'held'}},
    }),
    async renew(now) {
      if (lost) return;
      if (await writeState('held')) {
        heldUntil = now + LEASE_DURATION_MS - LEASE_MARGIN_MS;
      } else await readVersionBack();
    },
    async release() {
      if (lost || version === 0) return;
      heldUntil = -Infinity;
      await writeState('released');
    },
  };
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

  async function expireRow(row: Row): Promise<boolean> {
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

  return {
    async checkOver(incarnation, now) {
      const key = {partition: LEASES_PARTITION, sort: incarnation};
      const row = await table.get(key);
      if (!row || row.fields.state !== 'held') return true;
      const seen = sightings.get(incarnation);
      if (seen?.version !== row.version) {
        sightings.set(incarnation, {version: row.version, since: now});
        return false;
      }
      if (now - seen.since < LEASE_DURATION_MS) return false;
      sightings.delete(incarnation);
      return expireRow(row);
    },
  };
}
