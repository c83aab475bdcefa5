/** The version of the routing document in force here, indexed for look-up. */
import {groupBy} from '../../common/collections.js';
import type {StateSource} from '../../common/state_dump.js';
import type {
  Route,
  RoutingAccount,
  RoutingDocument,
} from './routing_document.js';

/** Looks routes and accounts up. A lower version never replaces a higher. */
export interface RoutingTable extends StateSource {
  /** Undefined until a first version is known. */
  getDocument(): RoutingDocument | undefined;
  /** 0 until a first version is known. */
  getVersion(): number;
  findRoute(host: string, path: string): Route | undefined;
  /** The account that holds a key. */
  findAccountByKey(keyHash: string): RoutingAccount | undefined;
  findAccount(name: string): RoutingAccount | undefined;
  /** A bundle's route by its name, while it is there. */
  findRouteByName(name: string): Route | undefined;
  /** Concurrency of a service's endpoints; undefined when it is unknown. */
  findConcurrency(service: string): number | undefined;
  listServices(): string[];
  /** Returns whether the document is newer and now in force. */
  apply(document: RoutingDocument): boolean;
  /** Told after each change. */
  subscribe(listener: (document: RoutingDocument) => void): void;
}

/** Starts without a document. */
export function createRoutingTable(): RoutingTable {
  let document: RoutingDocument | undefined;
  let routesByHost = new Map<string, Route[]>();
  let routesByName = new Map<string, Route>();
  let accountsByKey = new Map<string, RoutingAccount>();
  let accountsByName = new Map<string, RoutingAccount>();
  let concurrency = new Map<string, number>();
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
    concurrency = new Map(
      services.map(({name, maxConcurrency}) => [name, maxConcurrency]),
    );
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
    findConcurrency: service => concurrency.get(service),
    listServices: () => [...concurrency.keys()],
    apply(next) {
      // An answer that was on its way while a newer version came would
      // otherwise bring back routes and keys that were taken away.
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
