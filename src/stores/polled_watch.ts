/**
 * Follows collections of a table that tells no changes, by reading them again.
 * For collections of few rows in one shard, that change seldom.
 */
import {
  buildPartition,
  type CollectionListener,
  type CollectionWatch,
} from './collections.js';
import type {Row, TableStore} from './table_store.js';

/** A watch that looks when it is told to. */
export interface PolledWatch extends CollectionWatch {
  /** Reads what is watched; throws StoreError. */
  poll(): Promise<void>;
}

/** Shard of every collection that is followed so. */
export const POLLED_SHARD = '0';

/** Starts without reading. */
export function createPolledWatch(table: TableStore): PolledWatch {
  const listeners = new Map<string, CollectionListener>();
  const seen = new Map<string, string>();

  async function pollOne(collection: string, listener: CollectionListener) {
    const rows = await table.query(buildPartition(collection, POLLED_SHARD));
    const version = rows.map(formatVersion).join();
    if (seen.get(collection) === version) return;
    seen.set(collection, version);
    listener.reset(rows);
  }

  return {
    watch(collection, listener) {
      listeners.set(collection, listener);
      return () => listeners.delete(collection);
    },
    async poll() {
      for (const [collection, listener] of listeners) {
        await pollOne(collection, listener);
      }
    },
  };
}

function formatVersion({key, version}: Row): string {
  return `${key.sort} ${version}`;
}
