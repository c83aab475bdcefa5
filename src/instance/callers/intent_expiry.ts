/**
 * Removes old intents. Beside each intent stands a row in the partition of the
 * hour it was written in, so that what is old is found without reading the
 * rest. Whoever writes an intent now and then removes some that are old: the
 * work follows the number of intents, and no instance is set aside for it.
 */
import type {
  RowKey,
  TableStore,
  WriteOperation,
} from '../../stores/table_store.js';

/** Partition of the intents. */
export const INTENT_PARTITION = 'intents';

const HOUR_MS = 3_600_000;

/** How long a resend finds the first call: a day. */
const RETENTION_HOURS = 24;

/** Hours before that in which rows may be left, looked at in turn. */
const SWEPT_HOURS = 48;

/** One sweep for this many intents written, removing up to twice as many. */
const WRITES_PER_SWEEP = 20;
const ROWS_PER_SWEEP = 2 * WRITES_PER_SWEEP;

/** Rows that make an intent expire; written with it. */
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

/** Sweeps as intents are written. */
export interface IntentSweeper {
  /** An intent was written; never throws. */
  note(wallNow: number): void;
}

/** `table` is the platform's. */
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
      // What fails now, or meets another instance's sweep, is swept later.
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
