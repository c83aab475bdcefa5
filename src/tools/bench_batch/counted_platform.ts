/** Wraps a platform and counts the calls to its table and object store. */
import type {Platform} from '../../stores/platform.js';

/** Number of calls since the last reset. */
export interface PlatformCalls {
  tableReads: number;
  transactions: number;
  /** Rows put, deleted or checked by the transactions. */
  operations: number;
  objectReads: number;
  objectWrites: number;
}

export function createPlatformCalls(): PlatformCalls {
  return {
    tableReads: 0,
    transactions: 0,
    operations: 0,
    objectReads: 0,
    objectWrites: 0,
  };
}

/** Returns the platform with its calls counted in `calls`. */
export function buildCountedPlatform(
  {table, objects, instances}: Platform,
  calls: PlatformCalls,
): Platform {
  return {
    instances,
    table: {
      get(key) {
        calls.tableReads++;
        return table.get(key);
      },
      query(partition, range) {
        calls.tableReads++;
        return table.query(partition, range);
      },
      transact(operations) {
        calls.transactions++;
        calls.operations += operations.length;
        return table.transact(operations);
      },
    },
    objects: {
      ...objects,
      get(name, range) {
        calls.objectReads++;
        return objects.get(name, range);
      },
      put(name, body) {
        calls.objectWrites++;
        return objects.put(name, body);
      },
      delete: name => objects.delete(name),
      list: (prefix, after) => objects.list(prefix, after),
    },
  };
}
