/** Follows collections of a table in memory: changes are told as they commit. */
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

/** A table whose changes are told, and the watch on it. */
export interface MemoryWatch extends CollectionWatch {
  table: TableStore;
}

/** Wraps `inner`; writes that bypass it are not told. */
export function createMemoryWatch(inner: TableStore): MemoryWatch {
  const listeners = new Map<string, Set<CollectionListener>>();
  const seen = new Map<string, Map<string, Row>>();

  function noteRow(collection: string, key: RowKey, row: Row | undefined) {
    const rows = seen.get(collection) ?? new Map<string, Row>();
    seen.set(collection, rows);
    const name = `${key.partition} ${key.sort}`;
    if (row) rows.set(name, row);
    else rows.delete(name);
  }

  async function publishChange({key, kind}: WriteOperation) {
    if (kind === 'check') return;
    const {collection} = splitPartition(key.partition);
    const row = await inner.get(key);
    noteRow(collection, key, row);
    for (const listener of listeners.get(collection) ?? []) {
      listener.change([{key, row}]);
    }
  }

  return {
    table: {
      get: key => inner.get(key),
      query: (partition, range) => inner.query(partition, range),
      async transact(operations) {
        let wasLost: unknown;
        const outcome = await inner.transact(operations).catch(error => {
          wasLost = error;
          return undefined;
        });
        if (!outcome || outcome.kind === 'committed') {
          for (const operation of operations) {
            await publishChange(operation).catch(() => {});
          }
        }
        if (!outcome) throw wasLost;
        return outcome;
      },
    },
    watch(collection, listener) {
      const held = listeners.get(collection) ?? new Set();
      held.add(listener);
      listeners.set(collection, held);
      listener.reset([...(seen.get(collection)?.values() ?? [])]);
      return () => held.delete(listener);
    },
  };
}
