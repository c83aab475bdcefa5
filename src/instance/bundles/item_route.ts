/** Finds the route that an item of a bundle takes under the current configuration. */
import type {Route} from '../routing/routing_document.js';
import type {RoutingTable} from '../routing/routing_table.js';

/** Where a bundle was submitted. */
export interface BundleOrigin {
  /** Name of the route at the bundle's submission. */
  route: string;
  /** Absent for bundles that earlier versions stored. */
  host?: string;
}

/**
 * The route of the item's own path goes first, because a new version may rename the
 * bundle's route or add one with a longer prefix.
 */
export function findItemRoute(
  routing: Pick<RoutingTable, 'findRoute' | 'findRouteByName'>,
  {route, host}: BundleOrigin,
  target: string,
): Route | undefined {
  const path = target.split('?', 1)[0];
  const ofPath = host === undefined ? undefined : routing.findRoute(host, path);
  if (ofPath?.form === 'bundle') return ofPath;
  return routing.findRouteByName(route);
}
