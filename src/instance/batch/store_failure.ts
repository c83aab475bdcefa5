/** What callers are told when the platform's store gives no answer. */
import {RouterError} from '../../common/errors.js';
import {StoreError} from '../../stores/table_store.js';

const RETRY_AFTER_MS = 2000;

/**
 * Runs `task`; a StoreError becomes `store_unavailable`. Everything callers
 * ask of batch may be sent again: files are named by their content, jobs by
 * their idempotency key, and a cancelled job stays so.
 */
export async function withStoreFailure<Result>(
  task: () => Promise<Result>,
): Promise<Result> {
  try {
    return await task();
  } catch (thrown) {
    throw toCallerError(thrown);
  }
}

/** A StoreError as callers see it; other values are left as they are. */
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
