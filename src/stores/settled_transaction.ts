/**
 * Runs transactions and determines their outcome after lost responses.
 *
 * The response to a write may be lost after the write took effect. The retry
 * then conflicts with its own write, and the caller would believe that another
 * writer was first. Every row contains the id of its last write, so one read
 * distinguishes the two cases. An outcome that the read cannot determine is
 * reported as unknown, never as a refusal.
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

/**
 * Reads a row, and sends a transaction once, with the protocol of one service.
 */
export interface TransactionSender {
  fetchRow(key: RowKey): Promise<Row | undefined>;
  sendTransaction(
    operations: readonly WriteOperation[],
    writeId: string,
  ): Promise<TransactionOutcome>;
}

/**
 * Creates a `transact` with retries; it throws StoreError if the outcome cannot
 * be determined.
 */
export function createSettledTransact(
  retrier: Retrier,
  sender: TransactionSender,
): TableStore['transact'] {
  /**
   * Determines the outcome of a transaction without a response. Rows it put
   * contain its write id. A row at a later version may hide the write, which
   * leaves the outcome unknown.
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

  /** Makes one attempt. `unclear`: an earlier attempt may have taken effect. */
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
      // A later attempt failed without effect; the earlier one is still
      // unclear.
      throw new StoreFailure((error as Error).message, {
        effect: 'unknown',
        retryable: false,
        cause: error,
      });
    }
  };
}
