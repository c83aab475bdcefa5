/** Authentication, target lookup and rate limit for the batch routes. */
import {drawToken} from '../limits/draw_token.js';
import {RouterError} from '../../common/errors.js';
import {authenticateCaller, findServiceOfModel} from '../callers/admission.js';
import type {CallerDependencies} from '../callers/callers.js';
import type {HttpExchange} from '../callers/http_exchange.js';
import type {TargetFinder} from './bundle_check.js';

/** Finds the account by the key of the request; throws RouterError. */
export function authenticateAccount(
  exchange: HttpExchange,
  {keys, clock}: CallerDependencies,
): string {
  return authenticateCaller(exchange.request, keys, clock.now()).account;
}

/** Creates a finder of the services to which the account may send items. */
export function createTargetFinder(
  account: string,
  {configuration}: CallerDependencies,
): TargetFinder {
  return model => {
    const {document} = findServiceOfModel(configuration, account, model);
    return {
      service: document.service.name,
      maxItems: document.batch.max_items,
    };
  };
}

/**
 * Draws the 1 token that a submission costs, regardless of its number of items.
 * Items run only in capacity that online work leaves idle and yield it at once,
 * so they take nothing of what the account's rate bounds. A token for each item
 * would lock the account out of its own online use for hours: 290,000 items at
 * 20/s take 4 hours. Throws RouterError.
 */
export async function drawSubmission(
  account: string,
  service: string,
  {configuration, limits}: CallerDependencies,
): Promise<void> {
  const accountLimits = configuration.find(service)?.document.account[account];
  if (!accountLimits) {
    throw new RouterError(
      'not_permitted',
      `'${service}' does not serve this account`,
      {verdict: 'not-run'},
    );
  }
  await drawToken(limits, {service, account}, accountLimits);
}
