/** The pools that this instance dispatches for, opened when first asked for. */
import type {Clock} from '../../common/clock.js';
import {createPoolScheduler} from '../../decisions/pool_scheduler.js';
import type {
  EndpointDescription,
  PoolLimits,
} from '../../decisions/scheduler_types.js';
import {IDLE_POOL_MS} from './constants.js';
import {
  createPoolDispatcher,
  type GatheredPool,
  type PoolDispatcher,
  type YieldNotifier,
} from './pool_dispatcher.js';

/** What a pool is made of now. */
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
  /** Whether other instances must ask the next dispatcher. */
  isStopped(): boolean;
  /** Brings endpoints and limits up to date, forgets idle pools. */
  refresh(): void;
  /** Sends waiting requests away and forgets what runs, for a time. */
  standDown(): void;
  /** The same for good; own requests may still open pools. */
  stop(): void;
}

/** What a table of pools asks of its surroundings; all have defaults. */
export interface PoolTableOptions {
  /** Whether others decide better at present. */
  isBlind?: () => boolean;
  /** Asks the other instances what they know of a pool; never rejects. */
  gather?: (poolName: string) => Promise<GatheredPool>;
  /** Tells holders that another instance dispatches from now on. */
  notifyMoved?: (holders: ReadonlySet<string>) => void;
}

/** Starts without pools. */
export function createPoolTable(
  clock: Clock,
  viewPool: PoolViewer,
  notifyYield: YieldNotifier,
  {isBlind = () => false, gather, notifyMoved}: PoolTableOptions = {},
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
    );
    dispatcher.refresh(view.endpoints, view.limits);
    if (gather) dispatcher.holdUntil(gather(poolName));
    open.set(poolName, {name: poolName, service, dispatcher});
    return dispatcher;
  }

  /**
   * Holders that are not told go on to report here: the next dispatcher would
   * count the slots of what has ended meanwhile as taken.
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

  return {
    open: openPool,
    find: poolName => open.get(poolName)?.dispatcher,
    list: () => [...open.values()],
    isStopped: () => stopped || isBlind(),
    refresh() {
      const idleBefore = clock.now() - IDLE_POOL_MS;
      for (const [key, {service, dispatcher}] of open) {
        if (dispatcher.isIdle() && dispatcher.usedAt() < idleBefore) {
          dispatcher.stop();
          open.delete(key);
          continue;
        }
        dispatcher.expireSlots();
        const view = viewPool(service, key);
        dispatcher.refresh(view.endpoints, view.limits);
      }
    },
    standDown,
    stop() {
      stopped = true;
      standDown();
    },
  };
}
