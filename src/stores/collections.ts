/**
 * Collections: sets of rows that are watched together. A partition is named
 * `collection/shard`. A transaction may span collections but not shards, so
 * rows that change together are put into shards of the same name.
 */
import type {Row, RowKey} from './table_store.js';

/**
 * The parts of a partition name; the shard is empty if the collection has only
 * one.
 */
export interface PartitionName {
  collection: string;
  shard: string;
}

export function buildPartition(collection: string, shard = ''): string {
  return `${collection}/${shard}`;
}

/** Splits a partition name into its parts. */
export function splitPartition(partition: string): PartitionName {
  const slash = partition.indexOf('/');
  if (slash < 0) return {collection: partition, shard: ''};
  return {
    collection: partition.slice(0, slash),
    shard: partition.slice(slash + 1),
  };
}

/** A row that was written; `row` is undefined if it was deleted. */
export interface RowChange {
  key: RowKey;
  row: Row | undefined;
}

/** Receives a collection's rows, in the order in which they changed. */
export interface CollectionListener {
  /** Receives all current rows, which replace those received before. */
  reset(rows: readonly Row[]): void;
  change(changes: readonly RowChange[]): void;
}

/** Watches collections for changes. */
export interface CollectionWatch {
  /**
   * Passes all rows to the listener once and then each change; continues after
   * failures. The returned function stops it.
   */
  watch(collection: string, listener: CollectionListener): () => void;
}
