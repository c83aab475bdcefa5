/** Decides whether an item is retried after a failed attempt. */
import {RouterError, type ErrorCode} from '../../common/errors.js';

/**
 * How a failed attempt is handled:
 *
 * - `final`: the item ends with an error, because a retry cannot succeed.
 * - `attempt`: the item is retried; counts towards its maximum attempts.
 * - `wait`: the item is retried later without counting, as it did not cause the
 *   failure.
 */
export type FailureKind = 'final' | 'attempt' | 'wait';

const FAILURE_KINDS: Record<ErrorCode, FailureKind> = {
  invalid_request: 'final',
  invalid_key: 'attempt',
  key_withdrawn: 'attempt',
  not_permitted: 'final',
  not_found: 'final',
  method_not_allowed: 'final',
  request_timeout: 'attempt',
  conflict: 'final',
  body_too_large: 'final',
  headers_too_large: 'final',
  rate_limited: 'wait',
  limits_unavailable: 'wait',
  overloaded: 'wait',
  no_endpoint: 'wait',
  exceeds_memory: 'final',
  quarantined: 'final',
  stream_unknown: 'final',
  route_changed: 'wait',
  draining: 'wait',
  isolated: 'wait',
  store_unavailable: 'wait',
  deadline_exceeded: 'attempt',
  endpoint_failed: 'attempt',
  endpoint_silent: 'attempt',
  answer_mismatch: 'attempt',
  outcome_unknown: 'final',
  answer_not_kept: 'final',
  slow_reader: 'attempt',
  cancelled: 'wait',
  internal: 'attempt',
};

/** Status codes of an engine after which a retry may succeed. */
const TRANSIENT_STATUSES = new Set([408, 425, 429, 503]);

/**
 * Chooses by the error and by whether the item may have run. An attempt that
 * certainly did not run is not counted: online requests come first in every
 * queue, so an item may exceed its deadline many times while it waits.
 */
export function chooseFailureKind(
  error: RouterError,
  idempotent: boolean,
): FailureKind {
  const kind = FAILURE_KINDS[error.code];
  if (kind === 'final') return 'final';
  if (error.verdict !== 'not-run') {
    return idempotent ? kind : 'final';
  }
  return error.code === 'internal' ? 'attempt' : 'wait';
}

/**
 * Builds the error of an attempt whose response has a status other than 200.
 */
export function buildStatusError(status: number): RouterError {
  const isTransient = TRANSIENT_STATUSES.has(status);
  return new RouterError(
    isTransient ? 'overloaded' : 'endpoint_failed',
    `the endpoint answered with status ${status}`,
    {verdict: 'ran'},
  );
}

/** Whether a response with this status is caused by the item and final. */
export function isItemFault(status: number): boolean {
  return status >= 400 && status < 500 && !TRANSIENT_STATUSES.has(status);
}
