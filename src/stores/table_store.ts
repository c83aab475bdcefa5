/**
 * The platform's transactional table service, as narrow as the product needs
 * it: every write is conditional and carries a write id, so that a write whose
 * answer was lost can be recognised by reading it back.
 */

/** A scalar of a row. Structured data is stored as JSON text. */
export type FieldValue = string | number | boolean;

/** Fields of a row. */
export type Fields = Record<string, FieldValue>;

/** Rows of one partition sort by `sort`. */
export interface RowKey {
  partition: string;
  sort: string;
}

/** A row as read. */
export interface Row {
  key: RowKey;
  /** 1 when first written, one more with each write. */
  version: number;
  /** Id of the transaction that wrote it last. */
  writeId: string;
  fields: Fields;
}

/** What must hold of a row for a transaction to commit. */
export type Condition =
  | {kind: 'absent'}
  | {kind: 'version'; version: number}
  | {kind: 'fields'; equals: Fields};

/** One step of a transaction. */
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

/** Whether a condition holds of a row. */
export function isMet(condition: Condition, row: Row | undefined): boolean {
  const check = CONDITION_CHECKS[condition.kind] as (
    condition: Condition,
    row: Row | undefined,
  ) => boolean;
  return check(condition, row);
}

/** Version that a put gives its row. */
export function computePutVersion({
  condition,
}: Extract<WriteOperation, {kind: 'put'}>): number {
  return condition.kind === 'absent' ? 1 : condition.version + 1;
}

/** Outcome of a transaction; `index` is the operation whose condition failed. */
export type TransactionOutcome =
  {kind: 'committed'; writeId: string} | {kind: 'conflict'; index: number};

/** Which rows of a partition to read. */
export interface QueryRange {
  /** Only rows whose sort key starts so. */
  prefix?: string;
  /** Only rows that sort after this key. */
  after?: string;
  /** At most this many rows. */
  limit?: number;
}

/** At most this many operations in one transaction. */
export const MAX_TRANSACTION_OPERATIONS = 100;

/** Longest row, in bytes. */
export const MAX_ROW_BYTES = 400 * 1024;

/** The table service. All methods throw StoreError when it gives no answer. */
export interface TableStore {
  get(key: RowKey): Promise<Row | undefined>;
  query(partition: string, range?: QueryRange): Promise<Row[]>;
  /**
   * All operations or none. A put sets the row's version to 1 (absent) or one
   * more than its condition's. After an unclear answer the implementation has
   * read back by write id; what it throws then may still have taken effect.
   */
  transact(operations: readonly WriteOperation[]): Promise<TransactionOutcome>;
}

/** Whether a failed call may have changed the store. */
export type StoreEffect = 'none' | 'unknown';

/** The store gave no usable answer. */
export class StoreError extends Error {
  readonly effect: StoreEffect;

  constructor(message: string, effect: StoreEffect, cause?: unknown) {
    super(message, {cause});
    this.name = 'StoreError';
    this.effect = effect;
  }
}
