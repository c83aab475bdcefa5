/** Finds the regions to which the requests of a route and an account are bound. */
import type {Route, RoutingAccount} from './routing_document.js';

type Bound = Pick<Route | RoutingAccount, 'allowedRegions'>;

/**
 * Both rules bind where both exist. Undefined if the request may run in any region;
 * empty if the rules have no region in common.
 */
export function findHomeRegions(
  route: Bound,
  account: Bound | undefined,
): readonly string[] | undefined {
  const ofRoute = route.allowedRegions;
  const ofAccount = account?.allowedRegions;
  if (!ofRoute || !ofAccount) return ofRoute ?? ofAccount;
  return ofRoute.filter(region => ofAccount.includes(region));
}
