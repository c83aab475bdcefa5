/** How a call under an Idempotency-Key is refused. */
import {RouterError} from '../../common/errors.js';
import type {StoreError} from '../../stores/table_store.js';

/** A resend of a call that still runs comes back after this, in ms. */
const IN_PROGRESS_RETRY_MS = 1000;

/** The caller used its key for two calls. */
export function failReused(): RouterError {
  return new RouterError(
    'conflict',
    'the idempotency-key was used for another call',
    {verdict: 'not-run', field: 'idempotency-key'},
  );
}

/** Another try of the call runs, here or elsewhere. */
export function failInProgress(): RouterError {
  return new RouterError('conflict', 'the call is still running', {
    verdict: 'may-have-run',
    retryAfterMs: IN_PROGRESS_RETRY_MS,
  });
}

/** The instance that ran the call left no trace of its end. */
export function failUnknown(): RouterError {
  return new RouterError(
    'outcome_unknown',
    'the call was begun and how it ended is not known; it is not run again',
    {verdict: 'may-have-run'},
  );
}

/** Nothing ran: the intent is written before the call. */
export function failStore(cause: StoreError): RouterError {
  return new RouterError(
    'store_unavailable',
    'the call cannot be recorded now, so it was not run',
    {verdict: 'not-run', retryAfterMs: IN_PROGRESS_RETRY_MS, cause},
  );
}
