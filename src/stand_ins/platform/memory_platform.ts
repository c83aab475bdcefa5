/**
 * The platform's services in memory, with the faults they are known for.
 * Conditions and transactions are enforced as the real ones enforce them.
 */
import {generateId} from '../../common/ids.js';
import type {ListedInstance} from '../../platform/instance_list.js';
import type {Platform} from '../../platform/platform.js';
import {
  MAX_TRANSACTION_OPERATIONS,
  StoreError,
  type Condition,
  type QueryRange,
  type Row,
  type RowKey,
  type TransactionOutcome,
  type WriteOperation,
} from '../../platform/table_store.js';

/** How the stand-in behaves until told otherwise. */
export interface PlatformFaults {
  /** No call reaches the store. */
  down: boolean;
  /** Writes take effect, then their answer is lost: this many more times. */
  answersToLose: number;
}

/** The in-memory platform with its controls. */
export interface MemoryPlatform extends Platform {
  faults: PlatformFaults;
  /** Replaces the instance list. */
  setInstances(instances: ListedInstance[]): void;
  /** Calls that reached the store. */
  counts: {reads: number; writes: number};
}

/** Starts empty and healthy. */
export function createMemoryPlatform(): MemoryPlatform {
  const rows = new Map<string, Map<string, Row>>();
  const objects = new Map<string, Buffer>();
  let instances: ListedInstance[] = [];
  const faults: PlatformFaults = {down: false, answersToLose: 0};
  const counts = {reads: 0, writes: 0};

  function findRow(key: RowKey): Row | undefined {
    return rows.get(key.partition)?.get(key.sort);
  }

  function checkUp() {
    if (faults.down) throw new StoreError('the store is down', 'none');
  }

  function failAnswer() {
    if (faults.answersToLose === 0) return;
    faults.answersToLose--;
    throw new StoreError('the answer was lost', 'unknown');
  }

  function applyOperation(operation: WriteOperation, writeId: string) {
    const {partition, sort} = operation.key;
    if (operation.kind === 'check') return;
    if (operation.kind === 'delete') {
      rows.get(partition)?.delete(sort);
      return;
    }
    const version = (findRow(operation.key)?.version ?? 0) + 1;
    const fields = {...operation.fields};
    if (!rows.has(partition)) rows.set(partition, new Map());
    rows
      .get(partition)!
      .set(sort, {key: operation.key, version, writeId, fields});
  }

  return {
    faults,
    counts,
    setInstances(list) {
      instances = list;
    },
    table: {
      async get(key) {
        checkUp();
        counts.reads++;
        const row = findRow(key);
        return row && structuredClone(row);
      },
      async query(partition, range) {
        checkUp();
        counts.reads++;
        const held = [...(rows.get(partition)?.values() ?? [])];
        return structuredClone(selectRange(held, range));
      },
      async transact(operations): Promise<TransactionOutcome> {
        checkUp();
        counts.writes++;
        if (operations.length > MAX_TRANSACTION_OPERATIONS) {
          throw new StoreError('too many operations', 'none');
        }
        const index = operations.findIndex(
          operation => !isMet(operation.condition, findRow(operation.key)),
        );
        if (index >= 0) return {kind: 'conflict', index};
        const writeId = generateId('write');
        for (const operation of operations) applyOperation(operation, writeId);
        failAnswer();
        return {kind: 'committed', writeId};
      },
    },
    objects: {
      async put(name, body) {
        checkUp();
        counts.writes++;
        objects.set(name, Buffer.from(body));
        failAnswer();
      },
      async get(name, range) {
        checkUp();
        counts.reads++;
        const body = objects.get(name);
        return range ? body?.subarray(range.start, range.end) : body;
      },
      async delete(name) {
        checkUp();
        counts.writes++;
        objects.delete(name);
      },
      async list(prefix, after = '') {
        checkUp();
        counts.reads++;
        return [...objects.keys()]
          .filter(name => name.startsWith(prefix) && name > after)
          .sort()
          .slice(0, 1000);
      },
    },
    instances: {
      async fetch() {
        checkUp();
        counts.reads++;
        return structuredClone(instances);
      },
    },
  };
}

function selectRange(rows: Row[], range: QueryRange = {}): Row[] {
  return rows
    .filter(row => row.key.sort.startsWith(range.prefix ?? ''))
    .filter(row => row.key.sort > (range.after ?? ''))
    .sort((a, b) => (a.key.sort < b.key.sort ? -1 : 1))
    .slice(0, range.limit ?? Infinity);
}

const CONDITION_CHECKS: {
  [Kind in Condition['kind']]: (
    condition: Extract<Condition, {kind: Kind}>,
    row: Row | undefined,
  ) => boolean;
} = {
  absent: (_condition, row) => row === undefined,
  version: (condition, row) => row?.version === condition.version,
  fields: (condition, row) =>
    row !== undefined &&
    Object.entries(condition.equals).every(
      ([name, value]) => row.fields[name] === value,
    ),
};

/** Whether a condition holds of a row. */
export function isMet(condition: Condition, row: Row | undefined): boolean {
  const check = CONDITION_CHECKS[condition.kind] as (
    condition: Condition,
    row: Row | undefined,
  ) => boolean;
  return check(condition, row);
}
