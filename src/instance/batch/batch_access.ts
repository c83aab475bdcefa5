/** Who may submit, and what it costs: shared by the routes of batch. */
import {drawToken} from '../limits/draw_token.js';
import {RouterError} from '../../common/errors.js';
import {authenticateCaller, findServiceOfModel} from '../callers/admission.js';
import type {CallerDependencies} from '../callers/callers.js';
import type {HttpExchange} from '../callers/http_exchange.js';
import type {TargetFinder} from './bundle_check.js';

/** The account whose key came with the request; throws RouterError. */
export function authenticateAccount(
  exchange: HttpExchange,
  {keys, clock}: CallerDependencies,
): string {
  return authenticateCaller(exchange.request, keys, clock.now()).account;
}

/** Finds the services that the account may send items to. */
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
 * Draws the one token that a submission costs, however many items it holds;
 * docs/design/batch.md tells why. Throws RouterError.
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
