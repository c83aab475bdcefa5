/** Reasons why a request gets no slot, and the errors that its caller sees. */
import {RouterError, type ErrorCode} from '../../common/errors.js';
import type {RefusalReason} from '../../decisions/scheduler_types.js';
import {NO_ENDPOINT_RETRY_MS} from './constants.js';

/** A final refusal. */
export interface SlotRefusal {
  kind: 'refused';
  reason: RefusalReason;
  /** Delay after which the caller may retry. */
  retryAfterMs: number;
}

/** Refusal when no endpoint of any pool accepts new work. */
export const NO_ENDPOINT: SlotRefusal = {
  kind: 'refused',
  reason: 'no-endpoint',
  retryAfterMs: NO_ENDPOINT_RETRY_MS,
};

/**
 * Refusal of batch items when no dispatcher responds: without one, nothing
 * could make them yield to online requests.
 */
export const NO_DISPATCHER: SlotRefusal = {
  kind: 'refused',
  reason: 'overloaded',
  retryAfterMs: NO_ENDPOINT_RETRY_MS,
};

const REFUSALS: Record<RefusalReason, {code: ErrorCode; message: string}> = {
  deadline: {
    code: 'deadline_exceeded',
    message: 'no endpoint could have answered in time',
  },
  overloaded: {
    code: 'overloaded',
    message: 'the service has more requests than it can answer in time',
  },
  'no-endpoint': {
    code: 'no_endpoint',
    message: 'no endpoint of the service takes work now',
  },
  'too-large': {
    code: 'exceeds_memory',
    message:
      'prompt and response together exceed the memory of every endpoint of the service',
  },
};

/** Builds the error by which a refusal is reported to the caller. */
export function buildRefusalError(refusal: SlotRefusal): RouterError {
  const {code, message} = REFUSALS[refusal.reason];
  if (refusal.reason === 'too-large') {
    return new RouterError(code, message, {verdict: 'not-run'});
  }
  return new RouterError(code, message, {
    verdict: 'not-run',
    retryAfterMs: refusal.retryAfterMs,
  });
}
