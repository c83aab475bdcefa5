/**
 * Checks a request again that was admitted under an earlier version of the routing
 * document and has not been sent yet.
 *
 * Only requests that wait are checked: one that was sent keeps the route and the account
 * that it was admitted with, or a new version would break off its response.
 */
import type {Route, RoutingAccount} from './routing_document.js';
import type {RoutingTable} from './routing_table.js';

/** What the document in force says of an admitted request. */
export type AdmissionCheck =
  /** It may be sent, held to this route. */
  | {kind: 'allowed'; route: Route}
  /** No route leads its path to an endpoint any more. */
  | {kind: 'route-removed'}
  /** Its route treats requests in another way, so that it has to be sent again. */
  | {kind: 'route-changed'}
  /** Its account has none of the keys any more that it was admitted with. */
  | {kind: 'key-withdrawn'};

/** A request as it was admitted. */
export interface AdmittedTarget {
  host: string;
  path: string;
  route: Route;
  /** Undefined on a public route. */
  account: RoutingAccount | undefined;
}

export function checkAdmission(
  routing: Pick<RoutingTable, 'findRoute' | 'findAccount'>,
  {host, path, route, account}: AdmittedTarget,
): AdmissionCheck {
  const current = routing.findRoute(host, path);
  if (!current) return {kind: 'route-removed'};
  if (!isTreatedAlike(current, route)) return {kind: 'route-changed'};
  if (account && !hasKeyOf(routing.findAccount(account.name), account)) {
    return {kind: 'key-withdrawn'};
  }
  return {kind: 'allowed', route: current};
}

/** Whether a request that began under one route can go on under the other. */
function isTreatedAlike(a: Route, b: Route): boolean {
  return (
    a.form === b.form && a.repeat === b.repeat && a.isPublic === b.isPublic
  );
}

function hasKeyOf(
  current: RoutingAccount | undefined,
  admitted: RoutingAccount,
): boolean {
  const kept = current?.keyHashes ?? [];
  return kept.some(hash => admitted.keyHashes.includes(hash));
}
