/**
 * Deciding without a dispatcher. Each instance then uses its own share of each
 * endpoint, so that all instances together stay within the endpoint's limit.
 */
import type {Clock} from '../../common/clock.js';
import {rankByKey} from '../../decisions/rendezvous.js';
import {
  createPoolTable,
  type PoolTable,
  type PoolView,
  type PoolViewer,
} from './pool_table.js';

/**
 * This instance's share of a pool among `instances`. Where an endpoint allows
 * fewer requests than there are instances, only as many instances use it as it
 * allows requests.
 */
export function selectOwnShare(
  view: PoolView,
  instances: readonly string[],
  self: string,
): PoolView {
  const limit = view.limits.maxConcurrency;
  const count = Math.max(1, instances.length);
  const endpoints = view.endpoints.filter(({address}) => {
    if (limit >= count) return true;
    const users = rankByKey(address, instances, name => name).slice(0, limit);
    return users.includes(self);
  });
  const maxConcurrency = Math.max(1, Math.floor(limit / count));
  return {endpoints, limits: {...view.limits, maxConcurrency}};
}

/** Pools of this instance alone; batch is not given slots here. */
export function createLoneDispatch(
  clock: Clock,
  viewShare: PoolViewer,
): PoolTable {
  return createPoolTable(clock, viewShare, () => {});
}
