/** What becomes of an item whose try failed. */
import {RouterError, type ErrorCode} from '../../common/errors.js';

/**
 * - `final`: no other try can answer it.
 * - `attempt`: another try, at the cost of one of its attempts.
 * - `wait`: another try later, at no cost: the item is not at fault.
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
  quarantined: 'final',
  draining: 'wait',
  isolated: 'wait',
  store_unavailable: 'wait',
  deadline_exceeded: 'attempt',
  endpoint_failed: 'attempt',
  endpoint_silent: 'attempt',
  answer_mismatch: 'attempt',
  outcome_unknown: 'final',
  answer_not_kept: 'final',
  cancelled: 'wait',
  internal: 'attempt',
};

/** Refusals of an engine that another try may pass. */
const TRANSIENT_STATUSES = new Set([408, 425, 429, 503]);

/**
 * Decides by what failed and whether the item may have run. A try proved not
 * to have run costs nothing: with online work before it in every queue, an
 * item may well wait out its deadline many times.
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

/** The failure of a try that an endpoint answered with another status than 200. */
export function buildStatusError(status: number): RouterError {
  const isTransient = TRANSIENT_STATUSES.has(status);
  return new RouterError(
    isTransient ? 'overloaded' : 'endpoint_failed',
    `the endpoint answered with status ${status}`,
    {verdict: 'ran'},
  );
}

/** Whether an answer with this status is the item's own fault, and final. */
export function isItemFault(status: number): boolean {
  return status >= 400 && status < 500 && !TRANSIENT_STATUSES.has(status);
}
