/**
 * Transactions whose outcome is settled before it is told.
 *
 * Failure it answers: the answer to a write is lost after the write took
 * effect. Symptom without it: the next try meets its own write, reports a
 * conflict, and the caller believes that somebody else won. Every row carries
 * the id of the write that put it last, so one read tells the two apart; what
 * even that cannot tell is reported as unclear, never as a refusal.
 */
import {generateId} from '../common/ids.js';
import type {Retrier} from './retrier.js';
import {isUnclear, StoreFailure} from './store_failure.js';
import {
  computePutVersion,
  type Row,
  type RowKey,
  type TableStore,
  type TransactionOutcome,
  type WriteOperation,
} from './table_store.js';

/** One service's way to read a row and to try a transaction once. */
export interface TransactionSender {
  fetchRow(key: RowKey): Promise<Row | undefined>;
  sendTransaction(
    operations: readonly WriteOperation[],
    writeId: string,
  ): Promise<TransactionOutcome>;
}

/** Tries within the retrier's budget; throws StoreError when none is settled. */
export function createSettledTransact(
  retrier: Retrier,
  sender: TransactionSender,
): TableStore['transact'] {
  /**
   * Settles a transaction whose answer did not come. Rows it put carry its
   * write id; a row at a later version may hide it, which stays unclear.
   */
  async function findUnclearOutcome(
    operations: readonly WriteOperation[],
    writeId: string,
  ): Promise<'committed' | 'not-seen' | 'hidden'> {
    const put = operations.find(operation => operation.kind === 'put');
    if (!put) return 'hidden';
    const row = await sender.fetchRow(put.key);
    if (row?.writeId === writeId) return 'committed';
    const version = computePutVersion(put);
    if (!row) return version === 1 ? 'not-seen' : 'hidden';
    return row.version <= version ? 'not-seen' : 'hidden';
  }

  /** One try; `unclear` tells that an earlier one may have taken effect. */
  async function transactOnce(
    operations: readonly WriteOperation[],
    writeId: string,
    unclear: boolean,
  ): Promise<TransactionOutcome> {
    const committed = {kind: 'committed', writeId} as const;
    if (unclear) {
      const seen = await findUnclearOutcome(operations, writeId);
      if (seen === 'committed') return committed;
    }
    const outcome = await sender.sendTransaction(operations, writeId);
    if (outcome.kind === 'committed' || !unclear) return outcome;
    const seen = await findUnclearOutcome(operations, writeId);
    if (seen === 'committed') return committed;
    if (seen === 'not-seen') return outcome;
    throw new StoreFailure('the outcome of a write cannot be told', {
      effect: 'unknown',
      retryable: false,
    });
  }

  return async operations => {
    const writeId = generateId('write');
    let unclear = false;
    try {
      return await retrier.run(async () => {
        try {
          return await transactOnce(operations, writeId, unclear);
        } catch (error) {
          unclear ||= isUnclear(error);
          throw error;
        }
      });
    } catch (error) {
      if (!unclear || isUnclear(error)) throw error;
      // A later try failed cleanly; the earlier one is still unclear.
      throw new StoreFailure((error as Error).message, {
        effect: 'unknown',
        retryable: false,
        cause: error,
      });
    }
  };
}
