/** The pools that this instance dispatches for, opened on first use. */
import type {Clock} from '../../common/clock.js';
import {createPoolScheduler} from '../../decisions/pool_scheduler.js';
import type {
  EndpointDescription,
  PoolLimits,
} from '../../decisions/scheduler_types.js';
import {IDLE_POOL_MS} from './constants.js';
import type {PaceObserver} from './load_metrics.js';
import {
  createPoolDispatcher,
  type GatheredPool,
  type PoolDispatcher,
  type YieldNotifier,
} from './pool_dispatcher.js';
import {NO_ENDPOINT} from './slot_refusal.js';

/** The current endpoints and limits of a pool. */
export interface PoolView {
  endpoints: EndpointDescription[];
  limits: PoolLimits;
}

/** Looks up the view of a pool; one without endpoints when it is unknown. */
export type PoolViewer = (service: string, poolName: string) => PoolView;

/** A pool that this instance dispatches for. */
export interface OpenPool {
  name: string;
  service: string;
  dispatcher: PoolDispatcher;
}

/** Pools by name. */
export interface PoolTable {
  open(service: string, poolName: string): PoolDispatcher;
  find(poolName: string): PoolDispatcher | undefined;
  list(): OpenPool[];
  /** Whether other instances must use the next dispatcher. */
  isStopped(): boolean;
  /** Updates endpoints and limits, and removes idle pools. */
  refresh(): void;
  /**
   * Closes all pools, which may be opened again later. Waiting requests are
   * redirected to the next dispatcher, and running requests are no longer
   * tracked.
   */
  standDown(): void;
  /** Stands down for good; only requests of this instance still open pools. */
  stop(): void;
}

/** Options of a pool table. */
export interface PoolTableOptions {
  /** Whether this instance is without store access and must not dispatch. */
  isWithoutStoreAccess?: () => boolean;
  /** Asks the other instances to describe a pool; never rejects. */
  gather?: (poolName: string) => Promise<GatheredPool>;
  /** Notifies holders that another instance dispatches from now on. */
  notifyMoved?: (holders: ReadonlySet<string>) => void;
  /** Whether the service of a pool has another one with endpoints. */
  hasOtherPool?: (service: string, poolName: string) => boolean;
  /** Takes each reported pace, for the metrics. */
  observePace?: PaceObserver;
}

/** Creates a table without pools. */
export function createPoolTable(
  clock: Clock,
  viewPool: PoolViewer,
  notifyYield: YieldNotifier,
  {
    isWithoutStoreAccess = () => false,
    gather,
    notifyMoved,
    hasOtherPool = () => false,
    observePace,
  }: PoolTableOptions = {},
): PoolTable {
  const open = new Map<string, OpenPool>();
  let stopped = false;

  function openPool(service: string, poolName: string): PoolDispatcher {
    const known = open.get(poolName);
    if (known) return known.dispatcher;
    const view = viewPool(service, poolName);
    const dispatcher = createPoolDispatcher(
      clock,
      createPoolScheduler(view.limits),
      notifyYield,
      observePace,
    );
    dispatcher.refresh(view.endpoints, view.limits);
    if (gather) dispatcher.delayUntil(gather(poolName));
    open.set(poolName, {name: poolName, service, dispatcher});
    return dispatcher;
  }

  /**
   * Notifies the holders, because otherwise they would keep reporting to this
   * instance, and the next dispatcher would count the slots of requests that
   * have ended in the meantime as taken.
   */
  function standDown() {
    const holders = new Set<string>();
    for (const {dispatcher} of open.values()) {
      for (const holder of dispatcher.listHolders()) holders.add(holder);
      dispatcher.stop();
    }
    open.clear();
    if (holders.size > 0) notifyMoved?.(holders);
  }

  /** Refreshes a pool. Nobody waits for one that is no more while there is another. */
  function refreshPool({service, name, dispatcher}: OpenPool) {
    dispatcher.expireSlots();
    const {endpoints, limits} = viewPool(service, name);
    dispatcher.refresh(endpoints, limits);
    if (endpoints.length > 0 || !hasOtherPool(service, name)) return;
    dispatcher.endWaits(NO_ENDPOINT);
  }

  return {
    open: openPool,
    find: poolName => open.get(poolName)?.dispatcher,
    list: () => [...open.values()],
    isStopped: () => stopped || isWithoutStoreAccess(),
    refresh() {
      const idleBefore = clock.now() - IDLE_POOL_MS;
      for (const pool of open.values()) {
        const {name, dispatcher} = pool;
        if (dispatcher.isIdle() && dispatcher.usedAt() < idleBefore) {
          dispatcher.stop();
          open.delete(name);
        } else refreshPool(pool);
      }
    },
    standDown,
    stop() {
      stopped = true;
      standDown();
    },
  };
}
