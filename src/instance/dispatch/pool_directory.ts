/** Which pools there are now, and which instance dispatches for each. */
import {rankByKey} from '../../decisions/rendezvous.js';
import type {Configuration} from '../configuration/configuration.js';
import type {Members} from '../members/members.js';
import type {SlotRequest} from './dispatch.js';
import type {PoolView} from './pool_table.js';
import {buildPools, rankPools, type Pool} from './pools.js';

/** Pools and dispatchers by this instance's view. */
export interface PoolDirectory {
  listPools(service: string): Pool[];
  /** Peer address of the instance that dispatches for a pool. */
  findDispatcher(pool: Pool): string;
  /** The same by key; undefined when the pool is gone. */
  findDispatcherOf(service: string, poolKey: string): string | undefined;
  isOwn(pool: Pool): boolean;
  viewPool(service: string, poolKey: string): PoolView;
  /** The pools a request tries, best first. */
  rankFor(request: SlotRequest): Pool[];
  /** Services of which this instance dispatches for a pool. */
  listOwnServices(): string[];
}

/**
 * Follows `members` and `configuration`. `isLeaving` knows of dispatchers that
 * said so themselves, before the list does.
 */
export function createPoolDirectory(
  members: Members,
  configuration: Configuration,
  isLeaving: (address: string) => boolean,
): PoolDirectory {
  function listPools(service: string): Pool[] {
    return buildPools(service, members.listEndpoints(service));
  }

  function findPool(service: string, poolKey: string): Pool | undefined {
    return listPools(service).find(({key}) => key === poolKey);
  }

  /** In the pool's region while it has instances: a slot costs a round trip. */
  function findDispatcher(pool: Pool): string {
    const live = members.listLive().filter(({address}) => !isLeaving(address));
    const near = live.filter(member => member.region === pool.region);
    const candidates = near.length > 0 ? near : live;
    const ranked = rankByKey(pool.key, candidates, ({address}) => address);
    return ranked[0]?.address ?? members.self.address;
  }

  function isOwn(pool: Pool): boolean {
    return findDispatcher(pool) === members.self.address;
  }

  return {
    listPools,
    findDispatcher,
    findDispatcherOf(service, poolKey) {
      const pool = findPool(service, poolKey);
      return pool && findDispatcher(pool);
    },
    isOwn,
    viewPool(service, poolKey) {
      const pool = findPool(service, poolKey);
      const document = configuration.find(service)?.document;
      return {
        endpoints: pool?.endpoints ?? [],
        limits: {maxConcurrency: document?.endpoint.max_concurrency ?? 0},
      };
    },
    rankFor: request =>
      rankPools(listPools(request.service.document.service.name), {
        workClass: request.workClass,
        region: members.self.region,
        affinityKey: request.prefixHashes[0] ?? request.account,
        isOwn,
      }),
    listOwnServices: () =>
      configuration
        .list()
        .map(({document}) => document.service.name)
        .filter(name => listPools(name).some(isOwn)),
  };
}
