/**
 * Fallback dispatch, used when no dispatcher responds. Each instance then uses
 * only its own share of each endpoint, so that all instances together stay
 * within the endpoint's limit.
 */
import type {Clock} from '../../common/clock.js';
import type {LatencySnapshot} from '../../decisions/latency_model.js';
import {
  rankByRendezvous,
  type Ranked,
} from '../../decisions/instance_ranking.js';
import type {PaceObserver} from './load_metrics.js';
import type {GatheredPool} from './pool_dispatcher.js';
import {
  createPoolTable,
  type PoolTable,
  type PoolView,
  type PoolViewer,
} from './pool_table.js';

/**
 * Selects this instance's share of a pool among `instances`. Where an endpoint
 * allows fewer requests than there are instances, only as many instances use it
 * as it allows requests.
 */
export function selectOwnShare(
  view: PoolView,
  instances: readonly Ranked[],
  self: string,
): PoolView {
  const limit = view.limits.maxConcurrency;
  const count = Math.max(1, instances.length);
  const own = view.endpoints.filter(({address}) => {
    if (limit >= count) return true;
    const users = rankByRendezvous(address, instances).slice(0, limit);
    return users.some(({name}) => name === self);
  });
  // The slot count that an endpoint reports is for all instances together.
  const endpoints = own.map(endpoint => ({...endpoint, slots: undefined}));
  const maxConcurrency = Math.max(1, Math.floor(limit / count));
  // A share of what a cold endpoint tolerates is less than one request.
  const warmUp = view.limits.warmUp && {...view.limits.warmUp, requestsPerS: 0};
  const memory = view.limits.memory && {
    ...view.limits.memory,
    slots: maxConcurrency,
    shareTokens: Math.floor(
      view.limits.memory.shareTokens / Math.max(1, Math.min(limit, count)),
    ),
  };
  return {endpoints, limits: {...view.limits, maxConcurrency, warmUp, memory}};
}

/**
 * Creates the pools of this instance's own share, which start with the latency
 * that the silent dispatcher had learned and with the slots in `listHeld`. Batch items
 * get no slots from them.
 */
export function createFallbackDispatch(
  clock: Clock,
  viewShare: PoolViewer,
  findLatency: (poolName: string) => LatencySnapshot | undefined,
  listHeld: (poolName: string) => GatheredPool['slots'],
  observePace?: PaceObserver,
): PoolTable {
  return createPoolTable(clock, viewShare, () => {}, {
    gather: async poolName => ({
      slots: listHeld(poolName),
      latency: findLatency(poolName),
    }),
    observePace,
  });
}
