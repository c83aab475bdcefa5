/** Error responses for requests that got no response from an endpoint. */
import {
  buildErrorBody,
  type ErrorCode,
  type RouterError,
} from '../../common/errors.js';
import {VERDICT_HEADER} from '../callers/constants.js';
import {respondJson, type HttpExchange} from '../callers/http_exchange.js';
import {UNREADY_RETRY_AFTER_MS} from './constants.js';
import type {CallerProtocol} from './protocols.js';

const UNAVAILABLE = 503;
const RATE_LIMITED = 429;

/** Refusals that a retry does not mend, unless they say when to retry. */
const WITHOUT_RETRY: ReadonlySet<ErrorCode> = new Set([
  'exceeds_memory',
  'stream_unknown',
]);

/**
 * Derives the status from the verdict: 503 guarantees that the request did not
 * run and never will; any other 5xx leaves that open.
 */
export function computeStatus({status, verdict}: RouterError): number {
  if (verdict === 'not-run') return status >= 500 ? UNAVAILABLE : status;
  if (status === UNAVAILABLE || status === RATE_LIMITED) return 502;
  return status;
}

/** Sends an error response. Does nothing if a response has already started. */
export function respondRefusal(
  exchange: HttpExchange,
  error: RouterError,
  protocol: CallerProtocol,
): void {
  if (exchange.response.headersSent || exchange.response.destroyed) return;
  const status = computeStatus(error);
  const headers: Record<string, string> = {[VERDICT_HEADER]: error.verdict};
  const mayRetry = status === UNAVAILABLE || status === RATE_LIMITED;
  const isFinal =
    WITHOUT_RETRY.has(error.code) && error.retryAfterMs === undefined;
  if (mayRetry && !isFinal) {
    const retryAfterMs = error.retryAfterMs ?? UNREADY_RETRY_AFTER_MS;
    headers['retry-after'] = protocol.encodeRetryAfter(retryAfterMs);
  }
  respondJson(exchange, status, buildErrorBody(error), headers);
}
