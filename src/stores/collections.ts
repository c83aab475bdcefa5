/**
 * Collections: rows that are followed together. A partition is named
 * `collection/shard`; a transaction stays within one shard, whatever the
 * collections, so rows that change together go into shards of one name.
 */
import type {Row, RowKey} from './table_store.js';

/** A partition's two parts; one without a shard is its collection's only one. */
export interface PartitionName {
  collection: string;
  shard: string;
}

/** Name of a partition. */
export function buildPartition(collection: string, shard = ''): string {
  return `${collection}/${shard}`;
}

/** The parts of a partition's name. */
export function splitPartition(partition: string): PartitionName {
  const slash = partition.indexOf('/');
  if (slash < 0) return {collection: partition, shard: ''};
  return {
    collection: partition.slice(0, slash),
    shard: partition.slice(slash + 1),
  };
}

/** A row that was written, or `row` undefined where it was deleted. */
export interface RowChange {
  key: RowKey;
  row: Row | undefined;
}

/** Told of a collection's rows, in the order in which they changed. */
export interface CollectionListener {
  /** All rows as they are now; whatever was known before is void. */
  reset(rows: readonly Row[]): void;
  change(changes: readonly RowChange[]): void;
}

/** Follows collections. */
export interface CollectionWatch {
  /**
   * Tells all rows once and then each change; goes on after failures. The
   * returned function ends it.
   */
  watch(collection: string, listener: CollectionListener): () => void;
}
