/** What a caller is told that got no answer of an endpoint. */
import {buildErrorBody, type RouterError} from '../../common/errors.js';
import {VERDICT_HEADER} from '../callers/constants.js';
import {respondJson, type HttpExchange} from '../callers/http_exchange.js';
import {UNREADY_RETRY_MS} from './constants.js';
import type {CallerProtocol} from './protocols.js';

const UNAVAILABLE = 503;
const RATE_LIMITED = 429;

/**
 * The status promises what the verdict proves: 503 says that the request did
 * not run and never will, any other 5xx says nothing of it.
 */
export function computeStatus({status, verdict}: RouterError): number {
  if (verdict === 'not-run') return status >= 500 ? UNAVAILABLE : status;
  if (status === UNAVAILABLE || status === RATE_LIMITED) return 502;
  return status;
}

/** Answers at once. Does nothing when the answer has begun. */
export function respondRefusal(
  exchange: HttpExchange,
  error: RouterError,
  protocol: CallerProtocol,
): void {
  if (exchange.response.headersSent || exchange.response.destroyed) return;
  const status = computeStatus(error);
  const headers: Record<string, string> = {[VERDICT_HEADER]: error.verdict};
  if (status === UNAVAILABLE || status === RATE_LIMITED) {
    const retryAfterMs = error.retryAfterMs ?? UNREADY_RETRY_MS;
    headers['retry-after'] = protocol.encodeRetryAfter(retryAfterMs);
  }
  respondJson(exchange, status, buildErrorBody(error), headers);
}
