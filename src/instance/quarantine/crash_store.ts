/**
 * The crash records of the fleet: those in the store, and those of this
 * instance that are not written yet. All instances watch the rows, so that an
 * instance that starts, or takes over work, knows the crashes that the others
 * have seen.
 */
import type {Log} from '../../common/log.js';
import {groupBy} from '../../common/collections.js';
import type {CrashRecord} from '../../decisions/crash_evidence.js';
import type {CollectionWatch} from '../../stores/collections.js';
import {
  StoreError,
  type RowKey,
  type TableStore,
  type WriteOperation,
} from '../../stores/table_store.js';
import {
  MAX_PENDING_RECORDS,
  MAX_RECORDS,
  MAX_ROWS_PER_WRITE,
} from './constants.js';
import {
  buildCrashKey,
  CRASHES,
  decodeCrashRow,
  encodeCrashFields,
} from './crash_rows.js';

/** The records by which contents are quarantined. */
export interface CrashStore {
  /** Whether the records of the fleet have been read. */
  isKnown(): boolean;
  list(): CrashRecord[];
  find(content: string): readonly CrashRecord[];
  /** Adds a record, here at once and on other instances once written. */
  add(record: CrashRecord): void;
  /** Removes records, here at once and on other instances once written. */
  remove(records: readonly CrashRecord[]): void;
  /** Writes pending changes; those that fail stay pending. */
  flush(): Promise<void>;
  describeState(): object;
  stop(): void;
}

export interface CrashStoreDependencies {
  log: Log;
  table: TableStore;
  watch: CollectionWatch;
  /** Number of shards of the rows. */
  shards: number;
  /** Called after each change. */
  onChange: () => void;
}

/** A change that the store's feed has not confirmed yet. */
interface Pending {
  record: CrashRecord;
  kind: 'put' | 'delete';
  /** Whether the change is written, so that the feed will confirm it. */
  isWritten: boolean;
}

/** Creates a store, which starts to watch the rows. */
export function createCrashStore({
  log,
  table,
  watch,
  shards,
  onChange,
}: CrashStoreDependencies): CrashStore {
  const stored = new Map<string, CrashRecord>();
  const pending = new Map<string, Pending>();
  let index: Map<string, CrashRecord[]> | undefined;
  let isKnown = false;
  let flushing: Promise<void> | undefined;
  let hasNewChanges = false;

  function noteRow(key: RowKey, record: CrashRecord | undefined) {
    const name = formatKey(key);
    const own = pending.get(name);
    if (!record) {
      stored.delete(name);
      // Another instance has removed the record since this one wrote it.
      if (own && (own.kind === 'delete' || own.isWritten)) pending.delete(name);
      return;
    }
    if (own?.kind === 'put') pending.delete(name);
    if (stored.size < MAX_RECORDS) stored.set(name, record);
  }

  const stop = watch.watch(CRASHES, {
    reset(rows) {
      isKnown = true;
      stored.clear();
      for (const [name, {isWritten}] of pending) {
        if (isWritten) pending.delete(name);
      }
      for (const row of rows) noteRow(row.key, decodeCrashRow(row));
      noteChange();
    },
    change(changes) {
      for (const {key, row} of changes) {
        noteRow(key, row && decodeCrashRow(row));
      }
      noteChange();
    },
  });

  function buildIndex(): Map<string, CrashRecord[]> {
    const known = new Map(stored);
    for (const [name, {record, kind}] of pending) {
      if (kind === 'put') known.set(name, record);
      else known.delete(name);
    }
    return groupBy(known.values(), ({content}) => content);
  }

  /** Returns the index, which is cached because every answer looks it up. */
  function findIndex(): ReadonlyMap<string, readonly CrashRecord[]> {
    index ??= buildIndex();
    return index;
  }

  function noteChange() {
    index = undefined;
    onChange();
  }

  function addPending(record: CrashRecord, kind: Pending['kind']) {
    if (pending.size >= MAX_PENDING_RECORDS) {
      const [oldest] = pending.keys();
      pending.delete(oldest);
      log.warn(
        {row: oldest},
        'crash record dropped: too many records wait to be written',
      );
    }
    const name = formatKey(buildCrashKey(record, shards));
    hasNewChanges = true;
    pending.set(name, {record, kind, isWritten: false});
  }

  function toOperation({record, kind}: Pending): WriteOperation {
    const key = buildCrashKey(record, shards);
    const fields = encodeCrashFields(record);
    // Rows are never updated, so each has version 1.
    return kind === 'put'
      ? {kind, key, fields, condition: {kind: 'absent'}}
      : {kind, key, condition: {kind: 'version', version: 1}};
  }

  async function writeBatch(partition: string, batch: readonly Pending[]) {
    try {
      const outcome = await table.transact(batch.map(toOperation));
      if (outcome.kind === 'committed') {
        for (const entry of batch) entry.isWritten = true;
        return;
      }
      // The row already exists, or is already deleted, as intended.
      const {record} = batch[outcome.index];
      pending.delete(formatKey(buildCrashKey(record, shards)));
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      log.info({partition, err: error.message}, 'crash records not written');
    }
  }

  async function writePending() {
    const waiting = [...pending.values()].filter(({isWritten}) => !isWritten);
    const batches = groupBy(
      waiting,
      ({record}) => buildCrashKey(record, shards).partition,
    );
    for (const [partition, changes] of batches) {
      await writeBatch(partition, changes.slice(0, MAX_ROWS_PER_WRITE));
    }
  }

  /** Writes changes again that were added while the earlier ones were written. */
  async function writeAll() {
    do {
      hasNewChanges = false;
      await writePending();
    } while (hasNewChanges);
  }

  async function flush(): Promise<void> {
    flushing ??= writeAll().finally(() => {
      flushing = undefined;
    });
    await flushing;
  }

  return {
    isKnown: () => isKnown,
    list: () => [...findIndex().values()].flat(),
    find: content => findIndex().get(content) ?? [],
    add(record) {
      addPending(record, 'put');
      noteChange();
      void flush();
    },
    remove(records) {
      for (const record of records) addPending(record, 'delete');
      noteChange();
      void flush();
    },
    flush,
    describeState: () => ({stored: stored.size, pending: pending.size}),
    stop,
  };
}

function formatKey({partition, sort}: RowKey): string {
  return `${partition}/${sort}`;
}
