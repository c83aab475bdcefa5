/** Which pools there are now, and which instance dispatches for each. */
import {
  chooseByRendezvous,
  selectSettled,
} from '../../decisions/instance_ranking.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import type {Members} from '../members/members.js';
import type {ServiceCatalog, SlotRequest} from './dispatch.js';
import type {PoolView} from './pool_table.js';
import {buildPools, rankPools, type Pool} from './pools.js';

/** Pools and dispatchers by this instance's view. */
export interface PoolDirectory {
  /** Forgets the pools built from an older list of endpoints. */
  refresh(): void;
  listPools(service: string): Pool[];
  findPool(service: string, poolName: string): Pool | undefined;
  /** An endpoint of a pool as it is listed now. */
  findEndpoint(
    service: string,
    poolName: string,
    address: string,
  ): ListedInstance | undefined;
  /** Peer address of the instance that dispatches for a pool. */
  findDispatcher(pool: Pool): string;
  /** The same by name; undefined when the pool is gone. */
  findDispatcherOf(service: string, poolName: string): string | undefined;
  isOwn(pool: Pool): boolean;
  viewPool(service: string, poolName: string): PoolView;
  /** The pools a request tries, best first. */
  rankFor(request: SlotRequest): Pool[];
  /** Services of which this instance dispatches for a pool. */
  listOwnServices(): string[];
}

/**
 * Follows `members` and `services`. `isPassedOver` knows of dispatchers that
 * said that they stop, or gave no answer, before the list does.
 */
export function createPoolDirectory(
  members: Members,
  services: ServiceCatalog,
  isPassedOver: (address: string) => boolean,
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

  /** In the pool's region while it has instances: a slot costs a round trip. */
  function findDispatcher(pool: Pool): string {
    const live = members
      .listLive()
      .filter(({address}) => !isPassedOver(address));
    const near = live.filter(member => member.region === pool.region);
    const candidates = near.length > 0 ? near : live;
    const first = chooseByRendezvous(pool.name, selectSettled(candidates));
    return first?.address ?? members.self.address;
  }

  function isOwn(pool: Pool): boolean {
    return findDispatcher(pool) === members.self.address;
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
    findDispatcherOf(service, poolName) {
      const pool = findPool(service, poolName);
      return pool && findDispatcher(pool);
    },
    isOwn,
    viewPool(service, poolName) {
      const pool = findPool(service, poolName);
      return {
        endpoints: pool?.endpoints ?? [],
        limits: {maxConcurrency: services.findConcurrency(service) ?? 0},
      };
    },
    rankFor: request =>
      rankPools(listPools(request.service), {
        workClass: request.workClass,
        region: members.self.region,
        affinityKey: request.prefixHashes[0] ?? request.account,
        isOwn,
      }),
    listOwnServices: () =>
      services.listServices().filter(name => listPools(name).some(isOwn)),
  };
}
