/** Draws one token of an account's rate, or refuses with an error. */
import {RouterError} from '../../common/errors.js';
import type {AccountLimits} from '../configuration/service_document.js';
import type {BucketId, LimitDecision, Limits} from './limits.js';

/** Throws RouterError (not-run) when there is no token. */
export async function drawToken(
  limits: Limits,
  bucket: BucketId,
  accountLimits: AccountLimits,
): Promise<void> {
  const decision = await limits.acquire(bucket, accountLimits);
  if (decision.kind === 'refused') throw buildLimitRefusal(decision);
}

/**
 * Builds the error for a refusal. An account within its rate must not get the
 * error for exceeding it, so a refusal because no instance knows the account's
 * usage has its own code.
 */
function buildLimitRefusal({
  reason,
  retryAfterMs,
}: Extract<LimitDecision, {kind: 'refused'}>): RouterError {
  if (reason === 'holder-unavailable') {
    return new RouterError(
      'limits_unavailable',
      'no instance can tell now whether the account is inside its rate; ask again',
      {verdict: 'not-run', retryAfterMs},
    );
  }
  return new RouterError('rate_limited', 'the account is over its rate', {
    verdict: 'not-run',
    retryAfterMs,
  });
}
