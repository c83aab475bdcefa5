/**
 * Removes expired intents. Each intent has a second row in a partition for the
 * hour it was written in, so that old intents are found without reading the
 * others. An instance removes some old intents for every few that it writes, so
 * the work is proportional to the writes and needs no dedicated instance.
 */
import type {
  RowKey,
  TableStore,
  WriteOperation,
} from '../../stores/table_store.js';

/** Partition of the intents. */
export const INTENT_PARTITION = 'intents';

const HOUR_MS = 3_600_000;

/** How long a resend finds the first call: one day. */
const RETENTION_HOURS = 24;

/** Number of older hours that may still hold rows; they are swept in turn. */
const SWEPT_HOURS = 48;

/** Intents written per sweep; a sweep removes up to twice as many. */
const WRITES_PER_SWEEP = 20;
const ROWS_PER_SWEEP = 2 * WRITES_PER_SWEEP;

/**
 * Builds the operations for an intent's expiry row, written in its transaction.
 */
export function buildExpiryOperations(
  id: string,
  wallNow: number,
): WriteOperation[] {
  return [
    {
      kind: 'put',
      key: {partition: buildHourPartition(wallNow), sort: id},
      fields: {},
      condition: {kind: 'absent'},
    },
  ];
}

/** Removes expired intents as new ones are written. */
export interface IntentSweeper {
  /**
   * Counts an intent written and starts a sweep when one is due; never throws.
   */
  note(wallNow: number): void;
}

/** `table` is the platform's table service. */
export function createIntentSweeper(table: TableStore): IntentSweeper {
  let writes = 0;
  let sweeps = 0;

  async function removeExpired(partition: string) {
    const rows = await table.query(partition, {limit: ROWS_PER_SWEEP});
    if (rows.length === 0) return;
    await table.transact(rows.flatMap(row => buildDeletes(row.key)));
  }

  return {
    note(wallNow) {
      writes++;
      if (writes % WRITES_PER_SWEEP !== 0) return;
      const hour = RETENTION_HOURS + 1 + (sweeps++ % SWEPT_HOURS);
      const partition = buildHourPartition(wallNow - hour * HOUR_MS);
      // After a failure or a conflict with another instance's sweep, the rows
      // are removed by a later sweep.
      removeExpired(partition).catch(() => {});
    },
  };
}

function buildHourPartition(wallTime: number): string {
  return `intents-of-hour/${Math.floor(wallTime / HOUR_MS)}`;
}

function buildDeletes(key: RowKey): WriteOperation[] {
  const exists = {kind: 'fields', equals: {}} as const;
  const intent = {partition: INTENT_PARTITION, sort: key.sort};
  return [
    {kind: 'delete', key: intent, condition: exists},
    {kind: 'delete', key, condition: exists},
  ];
}
