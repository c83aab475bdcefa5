/**
 * Pools: the endpoints of one service in one region, split so that none has
 * more than a dispatcher can see at once.
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

/** The pools of a service, from its endpoints that take new work. */
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

/** What decides in which order a request tries pools. */
export interface PoolPreference {
  workClass: WorkClass;
  /** Region of the instance that asks. */
  region: string;
  /** Requests with the same key prefer the same part of a region. */
  affinityKey: string;
  /** Whether this instance dispatches for the pool. */
  isOwn: (pool: Pool) => boolean;
}

/**
 * Pools in the order in which a request tries them. Batch stays on pools that
 * this instance dispatches for, so that making way needs no message; online
 * stays in its region, and within it goes where its prefix may be cached.
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
