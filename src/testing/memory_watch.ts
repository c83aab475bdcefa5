/** Watches collections of an in-memory table; notifies listeners on commit. */
import {
  splitPartition,
  type CollectionListener,
  type CollectionWatch,
} from '../stores/collections.js';
import type {
  Row,
  RowKey,
  TableStore,
  WriteOperation,
} from '../stores/table_store.js';

/** A table that notifies listeners of its changes, and the watch on it. */
export interface MemoryWatch extends CollectionWatch {
  table: TableStore;
}

/** Wraps `inner`; listeners are not notified of writes that bypass the wrapper. */
export function createMemoryWatch(inner: TableStore): MemoryWatch {
  const listeners = new Map<string, Set<CollectionListener>>();
  const latestRows = new Map<string, Map<string, Row>>();

  function updateRow(collection: string, key: RowKey, row: Row | undefined) {
    const rows = latestRows.get(collection) ?? new Map<string, Row>();
    latestRows.set(collection, rows);
    const name = `${key.partition} ${key.sort}`;
    if (row) rows.set(name, row);
    else rows.delete(name);
  }

  async function publishChange({key, kind}: WriteOperation) {
    if (kind === 'check') return;
    const {collection} = splitPartition(key.partition);
    const row = await inner.get(key);
    updateRow(collection, key, row);
    for (const listener of listeners.get(collection) ?? []) {
      listener.change([{key, row}]);
    }
  }

  return {
    table: {
      get: key => inner.get(key),
      query: (partition, range) => inner.query(partition, range),
      async transact(operations) {
        let transactError: unknown;
        const outcome = await inner.transact(operations).catch(error => {
          transactError = error;
          return undefined;
        });
        if (!outcome || outcome.kind === 'committed') {
          for (const operation of operations) {
            await publishChange(operation).catch(() => {});
          }
        }
        if (!outcome) throw transactError;
        return outcome;
      },
    },
    watch(collection, listener) {
      const collectionListeners = listeners.get(collection) ?? new Set();
      collectionListeners.add(listener);
      listeners.set(collection, collectionListeners);
      listener.reset([...(latestRows.get(collection)?.values() ?? [])]);
      return () => collectionListeners.delete(listener);
    },
  };
}
