/** Checks that a response belongs to its request and was admitted. */
import {RouterError} from '../../common/errors.js';
import {isFinalStatus} from '../../common/response_status.js';
import {DEFAULT_RETRY_AFTER_MS, NOT_ADMITTED_HEADER} from './constants.js';
import type {EndpointAnswer} from './endpoint_answer.js';
import {toEndpointError} from './endpoint_failure.js';

/** Throws, and ends the response, if its status is none of a final response. */
export function checkStatus(answer: EndpointAnswer): void {
  if (isFinalStatus(answer.status)) return;
  answer.destroy();
  throw new RouterError(
    'endpoint_failed',
    `the endpoint answered with the status ${answer.status}`,
    {verdict: 'may-have-run'},
  );
}

/** Throws when the endpoint says that it refused before admission. */
export function checkAdmitted({status, headers}: EndpointAnswer): void {
  if (status !== 503 || headers[NOT_ADMITTED_HEADER] !== 'true') return;
  const seconds = Number(headers['retry-after']);
  throw new RouterError('overloaded', 'the endpoint admits no more requests', {
    verdict: 'not-run',
    retryAfterMs: seconds > 0 ? seconds * 1000 : DEFAULT_RETRY_AFTER_MS,
  });
}

/** Throws when a response belongs to another request; no caller may see it. */
export function checkRequestId(requestId: string, echoed: unknown): void {
  if (echoed === requestId) return;
  throw new RouterError('answer_mismatch', 'the endpoint mixed up answers', {
    verdict: 'may-have-run',
  });
}

/**
 * Ends a response that is not used. The connection of a refusal can be reused.
 * Any other is destroyed, because data that still arrives on it is late or
 * belongs to another request.
 */
export function cancelAnswer(answer: EndpointAnswer, error: unknown): void {
  if (toEndpointError(error).verdict === 'not-run') answer.finish();
  else answer.destroy();
}
