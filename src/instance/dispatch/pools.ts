/**
 * Pools: the endpoints of one service in one region, split so that each pool is
 * small enough for one dispatcher.
 */
import {groupBy} from '../../common/collections.js';
import {
  chooseByRendezvous,
  rankByRendezvous,
} from '../../decisions/instance_ranking.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import {MAX_POOL_ENDPOINTS} from './constants.js';
import type {WorkClass} from './dispatch.js';

/** One pool of a service. */
export interface Pool {
  /** `service/region/part`; the same on every instance with the same view. */
  name: string;
  region: string;
  endpoints: ListedInstance[];
}

/** Returns the service to which a pool of this name belongs. */
export function getServiceName(poolName: string): string {
  return poolName.split('/').slice(0, -2).join('/');
}

/** Builds the pools of a service from its endpoints that accept new work. */
export function buildPools(
  service: string,
  endpoints: readonly ListedInstance[],
): Pool[] {
  const pools = new Map<string, Pool>();
  for (const [region, members] of groupBy(endpoints, ({region}) => region)) {
    const count = Math.ceil(members.length / MAX_POOL_ENDPOINTS);
    const parts = Array.from({length: count}, (_, part) => ({
      name: `${service}/${region}/${part}`,
    }));
    for (const endpoint of members) {
      const {name} = chooseByRendezvous(endpoint.address, parts)!;
      const pool = pools.get(name) ?? {name, region, endpoints: []};
      pool.endpoints.push(endpoint);
      pools.set(name, pool);
    }
  }
  return [...pools.values()];
}

/** Criteria for the order in which a request tries pools. */
export interface PoolPreference {
  workClass: WorkClass;
  /** Region of the instance that requests the slot. */
  region: string;
  /** Requests with the same key prefer the same part of a region. */
  affinityKey: string;
  /** Whether this instance dispatches for the pool. */
  isOwn: (pool: Pool) => boolean;
}

/**
 * Sorts pools into the order in which a request tries them. Batch items prefer
 * pools that this instance dispatches for, where they can yield without a
 * message. Online requests prefer their own region, and within it the pool that
 * may have their prefix cached.
 */
export function rankPools(
  pools: readonly Pool[],
  preference: PoolPreference,
): Pool[] {
  const ranked = rankByRendezvous(preference.affinityKey, pools);
  function computeRank(pool: Pool): number {
    const own = preference.workClass === 'batch' && preference.isOwn(pool);
    const near = pool.region === preference.region;
    return (own ? 0 : 2) + (near ? 0 : 1);
  }
  return ranked.sort((a, b) => computeRank(a) - computeRank(b));
}
