/** Why a request was given no slot, as its caller is told. */
import {RouterError, type ErrorCode} from '../../common/errors.js';
import type {RefusalReason} from '../../decisions/scheduler_types.js';
import {NO_ENDPOINT_RETRY_MS} from './constants.js';

/** A final refusal. */
export interface SlotRefusal {
  kind: 'refused';
  reason: RefusalReason;
  /** When the caller may come back. */
  retryAfterMs: number;
}

/** No endpoint of any pool takes new work. */
export const NO_ENDPOINT: SlotRefusal = {
  kind: 'refused',
  reason: 'no-endpoint',
  retryAfterMs: NO_ENDPOINT_RETRY_MS,
};

/** Batch waits for a dispatcher: alone it could not make way for online. */
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
};

/** The error a refusal is reported with. */
export function buildRefusalError(refusal: SlotRefusal): RouterError {
  const {code, message} = REFUSALS[refusal.reason];
  return new RouterError(code, message, {
    verdict: 'not-run',
    retryAfterMs: refusal.retryAfterMs,
  });
}
