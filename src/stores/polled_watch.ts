/**
 * Watches collections of a table without change notifications by polling. Meant
 * for collections of few rows in one shard that seldom change.
 */
import {
  buildPartition,
  type CollectionListener,
  type CollectionWatch,
} from './collections.js';
import type {Row, TableStore} from './table_store.js';

/** A watch that reads the table only in `poll`. */
export interface PolledWatch extends CollectionWatch {
  /** Reads the watched collections; throws StoreError. */
  poll(): Promise<void>;
}

/** Shard of every polled collection. */
export const POLLED_SHARD = '0';

/** Creates a watch; nothing is read before the first `poll`. */
export function createPolledWatch(table: TableStore): PolledWatch {
  const listeners = new Map<string, CollectionListener>();
  const lastVersions = new Map<string, string>();

  async function pollCollection(
    collection: string,
    listener: CollectionListener,
  ) {
    const rows = await table.query(buildPartition(collection, POLLED_SHARD));
    const version = rows.map(formatVersion).join();
    if (lastVersions.get(collection) === version) return;
    lastVersions.set(collection, version);
    listener.reset(rows);
  }

  return {
    watch(collection, listener) {
      listeners.set(collection, listener);
      return () => listeners.delete(collection);
    },
    async poll() {
      for (const [collection, listener] of listeners) {
        await pollCollection(collection, listener);
      }
    },
  };
}

function formatVersion({key, version}: Row): string {
  return `${key.sort} ${version}`;
}
