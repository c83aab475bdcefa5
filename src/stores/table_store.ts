/**
 * Interface of the platform's transactional table service, reduced to what this
 * program needs. Every write is conditional and has a write id, so that a write
 * whose response was lost can be recognised by reading the row.
 */

/** A scalar of a row. Structured data is stored as JSON text. */
export type FieldValue = string | number | boolean;

export type Fields = Record<string, FieldValue>;

/** Key of a row; rows of one partition are sorted by `sort`. */
export interface RowKey {
  partition: string;
  sort: string;
}

/** A row as it was read. */
export interface Row {
  key: RowKey;
  /** 1 after the first write, incremented by each further one. */
  version: number;
  /** Id of the transaction that wrote it last. */
  writeId: string;
  fields: Fields;
}

/** Condition on a row under which a transaction commits. */
export type Condition =
  | {kind: 'absent'}
  | {kind: 'version'; version: number}
  | {kind: 'fields'; equals: Fields};

/** One operation of a transaction. */
export type WriteOperation =
  | {
      kind: 'put';
      key: RowKey;
      fields: Fields;
      condition: Exclude<Condition, {kind: 'fields'}>;
    }
  | {kind: 'delete'; key: RowKey; condition: Condition}
  | {kind: 'check'; key: RowKey; condition: Condition};

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

/** Whether a row meets a condition. */
export function isConditionMet(
  condition: Condition,
  row: Row | undefined,
): boolean {
  const check = CONDITION_CHECKS[condition.kind] as (
    condition: Condition,
    row: Row | undefined,
  ) => boolean;
  return check(condition, row);
}

/** Computes the version that a put gives its row. */
export function computePutVersion({
  condition,
}: Extract<WriteOperation, {kind: 'put'}>): number {
  return condition.kind === 'absent' ? 1 : condition.version + 1;
}

/**
 * Outcome of a transaction; `index` is the operation whose condition failed.
 */
export type TransactionOutcome =
  {kind: 'committed'; writeId: string} | {kind: 'conflict'; index: number};

/** Which rows of a partition to read. */
export interface QueryRange {
  /** Only rows whose sort key starts with this. */
  prefix?: string;
  /** Only rows that sort after this key. */
  after?: string;
  /** At most this many rows. */
  limit?: number;
}

/** Maximum number of operations in one transaction. */
export const MAX_TRANSACTION_OPERATIONS = 100;

/** Maximum size of a row, in bytes. */
export const MAX_ROW_BYTES = 400 * 1024;

/**
 * The table service. All methods throw StoreError if it gives no usable
 * response.
 */
export interface TableStore {
  get(key: RowKey): Promise<Row | undefined>;
  query(partition: string, range?: QueryRange): Promise<Row[]>;
  /**
   * Commits all operations or none. A put sets the row's version to 1 (absent)
   * or one more than its condition's. After a lost response the implementation
   * looks for the write id in the rows; a transaction for which it then throws
   * may still have taken effect.
   */
  transact(operations: readonly WriteOperation[]): Promise<TransactionOutcome>;
}

/** Whether a failed call may have changed the store. */
export type StoreEffect = 'none' | 'unknown';

/** The store gave no usable response. */
export class StoreError extends Error {
  readonly effect: StoreEffect;

  constructor(message: string, effect: StoreEffect, cause?: unknown) {
    super(message, {cause});
    this.name = 'StoreError';
    this.effect = effect;
  }
}
