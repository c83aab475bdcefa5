/** An in-memory table service with the limits of the real services. */
import {generateId} from '../../common/ids.js';
import {
  MAX_ROW_BYTES,
  MAX_TRANSACTION_OPERATIONS,
  isConditionMet,
  StoreError,
  type QueryRange,
  type Row,
  type RowKey,
  type TableStore,
  type TransactionOutcome,
  type WriteOperation,
} from '../../stores/table_store.js';
import type {FaultGate} from './platform_faults.js';

/** The request exceeds a limit of the service, which wrote nothing. */
export class LimitError extends StoreError {
  constructor(message: string) {
    super(message, 'none');
    this.name = 'LimitError';
  }
}

/** The table, with an extra method for the stand-in server. */
export interface MemoryTable extends TableStore {
  /** Like `transact`, but with a write id that the client chose. */
  transactAs(
    operations: readonly WriteOperation[],
    writeId: string,
  ): Promise<TransactionOutcome>;
}

/** Creates an empty table. */
export function createMemoryTable(gate: FaultGate): MemoryTable {
  const rows = new Map<string, Map<string, Row>>();

  function findRow(key: RowKey): Row | undefined {
    return rows.get(key.partition)?.get(key.sort);
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

  async function transactAs(
    operations: readonly WriteOperation[],
    writeId: string,
  ): Promise<TransactionOutcome> {
    await gate.enter('table', 'write');
    checkLimits(operations);
    gate.counts.rowsWritten += operations.length;
    const index = operations.findIndex(
      operation => !isConditionMet(operation.condition, findRow(operation.key)),
    );
    if (index >= 0) return {kind: 'conflict', index};
    for (const operation of operations) applyOperation(operation, writeId);
    gate.loseResponse(operations.map(operation => operation.key.partition));
    return {kind: 'committed', writeId};
  }

  return {
    async get(key) {
      await gate.enter('table', 'read');
      const row = findRow(key);
      return row && structuredClone(row);
    },
    async query(partition, range) {
      await gate.enter('table', 'read');
      const partitionRows = [...(rows.get(partition)?.values() ?? [])];
      return structuredClone(selectRange(partitionRows, range));
    },
    transact: operations => transactAs(operations, generateId('write')),
    transactAs,
  };
}

/** Throws LimitError where the real service refuses a transaction. */
function checkLimits(operations: readonly WriteOperation[]) {
  if (operations.length > MAX_TRANSACTION_OPERATIONS) {
    throw new LimitError('too many operations');
  }
  const names = operations.map(
    ({key}) => `${key.partition.length} ${key.partition} ${key.sort}`,
  );
  if (new Set(names).size < names.length) {
    throw new LimitError('two operations on one row');
  }
  for (const operation of operations) {
    if (operation.kind !== 'put') continue;
    const bytes = Buffer.byteLength(JSON.stringify(operation.fields));
    if (bytes <= MAX_ROW_BYTES) continue;
    throw new LimitError(`the row has ${bytes} bytes`);
  }
}

function selectRange(rows: Row[], range: QueryRange = {}): Row[] {
  return rows
    .filter(row => row.key.sort.startsWith(range.prefix ?? ''))
    .filter(row => row.key.sort > (range.after ?? ''))
    .sort((a, b) => (a.key.sort < b.key.sort ? -1 : 1))
    .slice(0, range.limit ?? Infinity);
}
