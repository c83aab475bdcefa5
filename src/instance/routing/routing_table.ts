/**
 * The active version of the routing document on this instance, indexed for
 * lookups.
 */
import {groupBy} from '../../common/collections.js';
import {computeRankWeight} from '../../decisions/rank_weights.js';
import type {WarmUp} from '../../decisions/warm_up.js';
import type {StateSource} from '../../common/state_dump.js';
import type {
  Route,
  RoutingAccount,
  RoutingDocument,
  RoutingService,
} from './routing_document.js';

/**
 * Looks up routes and accounts. A lower version never replaces a higher one.
 */
export interface RoutingTable extends StateSource {
  /** Undefined until a first version is known. */
  getDocument(): RoutingDocument | undefined;
  /** 0 until a first version is known. */
  getVersion(): number;
  findRoute(host: string, path: string): Route | undefined;
  /** The account that a key belongs to. */
  findAccountByKey(keyHash: string): RoutingAccount | undefined;
  findAccount(name: string): RoutingAccount | undefined;
  /**
   * The route with this name, or undefined if the current document has none.
   */
  findRouteByName(name: string): Route | undefined;
  /**
   * Maximum concurrency of a service's endpoints, or undefined if it is
   * unknown.
   */
  findConcurrency(service: string): number | undefined;
  /**
   * Weight of an account's requests on a route. It is 1 for all as long as all
   * ranks in the document are equal.
   */
  findWeight(route: Route, account: RoutingAccount | undefined): number;
  findWarmUp(service: string): WarmUp | undefined;
  /** Memory of one endpoint of a service, or undefined if it is unknown. */
  findMemoryTokens(service: string): number | undefined;
  listServices(): string[];
  /** Applies the document if it is newer. Returns whether it was applied. */
  apply(document: RoutingDocument): boolean;
  /** Calls the listener after each change. */
  subscribe(listener: (document: RoutingDocument) => void): void;
}

/** Creates a table without a document. */
export function createRoutingTable(): RoutingTable {
  let document: RoutingDocument | undefined;
  let routesByHost = new Map<string, Route[]>();
  let routesByName = new Map<string, Route>();
  let accountsByKey = new Map<string, RoutingAccount>();
  let accountsByName = new Map<string, RoutingAccount>();
  let servicesByName = new Map<string, RoutingService>();
  let hasRanks = false;
  const listeners: ((document: RoutingDocument) => void)[] = [];

  function buildIndexes({routes, accounts, services}: RoutingDocument) {
    routesByHost = groupBy(routes, ({host}) => host);
    for (const held of routesByHost.values()) {
      held.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    routesByName = new Map(routes.map(route => [route.name, route]));
    accountsByName = new Map(accounts.map(account => [account.name, account]));
    accountsByKey = new Map(
      accounts.flatMap(account =>
        account.keyHashes.map(hash => [hash, account] as const),
      ),
    );
    const ranks = [...routes, ...accounts].map(({rank}) => rank);
    hasRanks = new Set(ranks.filter(rank => rank !== undefined)).size > 1;
    servicesByName = new Map(services.map(each => [each.name, each]));
  }

  return {
    getDocument: () => document,
    getVersion: () => document?.version ?? 0,
    findRoute: (host, path) =>
      routesByHost
        .get(host)
        ?.find(({pathPrefix}) => path.startsWith(pathPrefix)),
    findAccountByKey: keyHash => accountsByKey.get(keyHash),
    findAccount: name => accountsByName.get(name),
    findRouteByName: name => routesByName.get(name),
    findConcurrency: service => servicesByName.get(service)?.maxConcurrency,
    findWeight: (route, account) =>
      hasRanks ? computeRankWeight(account?.rank ?? route.rank) : 1,
    findWarmUp: service => servicesByName.get(service)?.warmUp,
    findMemoryTokens: service => servicesByName.get(service)?.memoryTokens,
    listServices: () => [...servicesByName.keys()],
    apply(next) {
      // A response that was delayed while a newer version arrived would
      // otherwise restore routes and keys that were removed.
      if (document && next.version <= document.version) return false;
      document = next;
      buildIndexes(next);
      for (const listener of listeners) listener(next);
      return true;
    },
    subscribe: listener => void listeners.push(listener),
    describeState: () => ({
      version: document?.version ?? 0,
      routes: document?.routes.length ?? 0,
      accounts: document?.accounts.length ?? 0,
    }),
  };
}
