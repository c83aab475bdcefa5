/** Converts failures of the platform's store to errors for callers. */
import {RouterError} from '../../common/errors.js';
import {StoreError} from '../../stores/table_store.js';

const RETRY_AFTER_MS = 2000;

/**
 * Runs `task` and converts a StoreError to `store_unavailable`. Callers may
 * resend all batch requests: files are named by their content, jobs by their
 * idempotency key, and a cancelled job stays cancelled.
 */
export async function convertStoreErrors<Result>(
  task: () => Promise<Result>,
): Promise<Result> {
  try {
    return await task();
  } catch (thrown) {
    throw toCallerError(thrown);
  }
}

/** Converts a StoreError to a RouterError; returns other values unchanged. */
export function toCallerError(thrown: unknown): unknown {
  if (!(thrown instanceof StoreError)) return thrown;
  return new RouterError(
    'store_unavailable',
    'the store gives no answer; send the same again',
    {
      verdict: thrown.effect === 'none' ? 'not-run' : 'may-have-run',
      retryAfterMs: RETRY_AFTER_MS,
      cause: thrown,
    },
  );
}
