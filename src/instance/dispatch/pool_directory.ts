/** The current pools, and the instance that dispatches for each of them. */
import {
  chooseByRendezvous,
  rankByRendezvous,
  selectSettled,
} from '../../decisions/instance_ranking.js';
import type {MemoryLimit} from '../../decisions/engine_memory.js';
import type {WarmUp} from '../../decisions/warm_up.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import type {Members} from '../members/members.js';
import type {ServiceCatalog, SlotRequest} from './dispatch.js';
import type {PoolView} from './pool_table.js';
import {buildPools, rankPools, type Pool} from './pools.js';

/** Share of the instances that may be lost at once without a split of the fleet. */
const MAX_LOST_SHARE = 0.1;

/** Pools and dispatchers according to this instance's view. */
export interface PoolDirectory {
  /** Discards the pools that were built from an older list of endpoints. */
  refresh(): void;
  listPools(service: string): Pool[];
  findPool(service: string, poolName: string): Pool | undefined;
  /** Finds the current list entry of an endpoint of a pool. */
  findEndpoint(
    service: string,
    poolName: string,
    address: string,
  ): ListedInstance | undefined;
  /** Returns the peer address of the instance that dispatches for a pool. */
  findDispatcher(pool: Pool): string;
  /**
   * Returns the peer address of the instance that would dispatch next for a pool, or of
   * the dispatcher if there is no other; undefined when the pool does not exist.
   */
  findStandby(service: string, poolName: string): string | undefined;
  /** As `findDispatcher`, by name; undefined when the pool no longer exists. */
  findDispatcherOf(service: string, poolName: string): string | undefined;
  isOwn(pool: Pool): boolean;
  viewPool(service: string, poolName: string): PoolView;
  /** Lists the pools that a request tries, best first. */
  rankFor(request: SlotRequest): Pool[];
  /** Lists services that have a pool for which this instance dispatches. */
  listOwnServices(): string[];
}

/**
 * Returns the time until which an endpoint is known to be cold. `warmUpMs` is how
 * long endpoints of its service take to warm up.
 */
export type ColdnessFinder = (
  endpoint: ListedInstance,
  warmUpMs: number,
) => number;

/**
 * Creates a directory of the pools of `services` over `members`. `isSkipped`
 * returns true for dispatchers that announced their stop or did not respond,
 * before the member list shows it.
 */
export function createPoolDirectory(
  members: Members,
  services: ServiceCatalog,
  isSkipped: (address: string) => boolean,
  findColdUntil: ColdnessFinder = () => -Infinity,
): PoolDirectory {
  const poolsByService = new Map<string, Pool[]>();

  function listPools(service: string): Pool[] {
    const known = poolsByService.get(service);
    if (known) return known;
    const pools = buildPools(service, members.listEndpoints(service));
    poolsByService.set(service, pools);
    return pools;
  }

  function findPool(service: string, poolName: string): Pool | undefined {
    return listPools(service).find(({name}) => name === poolName);
  }

  /** Prefers the pool's region, because each slot costs a round trip. */
  function listCandidates(pool: Pool): readonly ListedInstance[] {
    const live = members.listLive().filter(({address}) => !isSkipped(address));
    const near = live.filter(member => member.region === pool.region);
    return selectSettled(near.length > 0 ? near : live);
  }

  function findDispatcher(pool: Pool): string {
    const first = chooseByRendezvous(pool.name, listCandidates(pool));
    return first?.address ?? members.self.address;
  }

  function findStandby(pool: Pool): string {
    const [first, second] = rankByRendezvous(pool.name, listCandidates(pool));
    return (second ?? first)?.address ?? members.self.address;
  }

  function isOwn(pool: Pool): boolean {
    return findDispatcher(pool) === members.self.address;
  }

  /** Lists the pools in a request's regions that have endpoints of its version. */
  function listSuitablePools({service, regions, version}: SlotRequest): Pool[] {
    return listPools(service).filter(
      ({region, endpoints}) =>
        (!regions || regions.includes(region)) &&
        (version === undefined ||
          endpoints.some(endpoint => endpoint.version === version)),
    );
  }

  /**
   * An instance that sees less than half of the fleet sends nothing to cold endpoints:
   * each part of a split fleet has a dispatcher, and their sum would exceed the rate.
   */
  function findWarmUp(service: string): WarmUp | undefined {
    const warmUp = services.findWarmUp(service);
    if (!warmUp) return undefined;
    const known = members.listListedPeers().length + 1;
    const isMajority = members.listLive().length * 2 > known;
    return isMajority ? warmUp : {...warmUp, requestsPerS: 0};
  }

  /**
   * An instance that sees only a part of the fleet uses the same part of the memory:
   * each part of a split fleet has a dispatcher, and together they must stay within it.
   */
  function findMemory(service: string): MemoryLimit | undefined {
    const tokens = services.findMemoryTokens(service);
    if (!tokens) return undefined;
    const live = members.listLive().length;
    const known = Math.max(live, members.listListedPeers().length + 1);
    return {
      tokens,
      shareTokens: Math.floor((tokens * live) / known),
      slots: services.findConcurrency(service) ?? 1,
      isSplit: known - live > Math.max(1, known * MAX_LOST_SHARE),
    };
  }

  return {
    refresh: () => poolsByService.clear(),
    listPools,
    findPool,
    findEndpoint: (service, poolName, address) =>
      findPool(service, poolName)?.endpoints.find(
        endpoint => endpoint.address === address,
      ),
    findDispatcher,
    findStandby(service, poolName) {
      const pool = findPool(service, poolName);
      return pool && findStandby(pool);
    },
    findDispatcherOf(service, poolName) {
      const pool = findPool(service, poolName);
      return pool && findDispatcher(pool);
    },
    isOwn,
    viewPool(service, poolName) {
      const endpoints = findPool(service, poolName)?.endpoints ?? [];
      const maxConcurrency = services.findConcurrency(service) ?? 0;
      const warmUp = findWarmUp(service);
      const memory = findMemory(service);
      if (!warmUp) return {endpoints, limits: {maxConcurrency, memory}};
      return {
        endpoints: endpoints.map(endpoint => ({
          ...endpoint,
          coldUntil: findColdUntil(endpoint, warmUp.durationMs),
        })),
        limits: {maxConcurrency, warmUp, memory},
      };
    },
    rankFor: request =>
      rankPools(listSuitablePools(request), {
        workClass: request.workClass,
        region: members.self.region,
        affinityKey: request.prefixHashes[0] ?? request.account,
        isOwn,
      }),
    listOwnServices: () =>
      services.listServices().filter(name => listPools(name).some(isOwn)),
  };
}
