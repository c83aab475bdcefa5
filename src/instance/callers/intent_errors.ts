/** Errors of calls with an Idempotency-Key. */
import {RouterError} from '../../common/errors.js';
import type {StoreError} from '../../stores/table_store.js';

/**
 * Retry-After while the first call still runs or the store does not answer, in
 * ms.
 */
const RETRY_AFTER_MS = 1000;

/** The caller used the same key for two different calls. */
export function buildKeyReusedError(): RouterError {
  return new RouterError(
    'conflict',
    'the idempotency-key was used for another call',
    {verdict: 'not-run', field: 'idempotency-key'},
  );
}

/** An earlier attempt of the call is still running, on any instance. */
export function buildInProgressError(): RouterError {
  return new RouterError('conflict', 'the call is still running', {
    verdict: 'may-have-run',
    retryAfterMs: RETRY_AFTER_MS,
  });
}

/** The instance that ran the call stopped without recording its outcome. */
export function buildUnknownOutcomeError(): RouterError {
  return new RouterError(
    'outcome_unknown',
    'the call was begun and how it ended is not known; it is not run again',
    {verdict: 'may-have-run'},
  );
}

/**
 * The store failed. Nothing ran, because the intent is written before the call.
 */
export function buildStoreUnavailableError(cause: StoreError): RouterError {
  return new RouterError(
    'store_unavailable',
    'the call cannot be recorded now, so it was not run',
    {verdict: 'not-run', retryAfterMs: RETRY_AFTER_MS, cause},
  );
}
