/**
 * Decides how much capacity is kept free of batch work for online requests that
 * have not arrived yet.
 *
 * Load pattern: steps and bursts of online requests beside batch work that
 * fills all idle slots. Whether a request may find every slot taken depends on
 * its objective. One with an objective some hundred ms ahead loses nothing by
 * waiting until an item has yielded. One without an objective, or with a close
 * one, is late by every ms that it waits.
 *
 * - While most online requests can wait for a yield (DEFERRABLE_SHARE), their
 *   time is the buffer. Only the requests that arrive while an item yields need
 *   free slots. Keeping more slots empty and stopping items in advance costs
 *   batch work an eighth of the fleet and each item several restarts, without
 *   any gain.
 * - Otherwise free slots are the buffer. BATCH_HEADROOM slots of each endpoint
 *   stay free, and items yield when less than FREE_SLOT_FLOOR of a slot per
 *   endpoint is left or a burst begins. No item starts during a burst and for
 *   BURST_PAUSE_MS after it, since an endpoint only seems idle between two
 *   requests of a burst. As few endpoints as the arrivals need are kept free of
 *   batch prefill.
 */
import {
  createOnlineDemand,
  estimateUpcoming,
  isBurst,
} from './online_demand.js';
import {
  BATCH_HEADROOM,
  BURST_PAUSE_MS,
  BURST_WINDOW_MS,
  DEMAND_WINDOW_MS,
  FREE_SLOT_FLOOR,
  MAX_QUIET_SHARE,
  DEFERRABLE_SHARE,
  YIELD_MS,
} from './scheduler_constants.js';

/** Tracks the online requests of one pool and computes its reserve. */
export interface OnlineReserve {
  /**
   * Records an online request; an urgent one cannot wait for an item to yield.
   */
  note(isUrgent: boolean, now: number): void;
  /** Returns the rate of online requests per ms. */
  getRate(now: number): number;
  /** Number of slots that starting batch items must leave free. */
  countHeadroom(endpoints: number, now: number): number;
  /** Number of free slots below which items yield in advance. */
  computeYieldFloor(endpoints: number, now: number): number;
  /** Number of endpoints to keep free of batch prefills of `prefillMs`. */
  countQuiet(endpoints: number, prefillMs: number, now: number): number;
  /** Whether no batch item may start at all. */
  isBatchPaused(now: number): boolean;
}

/** Creates a reserve that has seen no online requests. */
export function createOnlineReserve(): OnlineReserve {
  const demand = createOnlineDemand(DEMAND_WINDOW_MS);
  const urgent = createOnlineDemand(DEMAND_WINDOW_MS);
  const burst = createOnlineDemand(BURST_WINDOW_MS);
  let burstSeenAt = -Infinity;

  function isMostlyDeferrable(now: number): boolean {
    const rate = demand.getRate(now);
    return rate > 0 && urgent.getRate(now) <= (1 - DEFERRABLE_SHARE) * rate;
  }

  return {
    note(isUrgent, now) {
      demand.note(now);
      burst.note(now);
      if (isUrgent) urgent.note(now);
      if (isBurst(burst, demand, now)) burstSeenAt = now;
    },
    getRate: demand.getRate,
    countHeadroom(endpoints, now) {
      if (!isMostlyDeferrable(now)) return endpoints * BATCH_HEADROOM;
      return Math.round(demand.getRate(now) * YIELD_MS);
    },
    computeYieldFloor(endpoints, now) {
      if (isMostlyDeferrable(now)) return 0;
      const floor = Math.ceil(endpoints * FREE_SLOT_FLOOR);
      return Math.max(floor, estimateUpcoming(burst, demand, now));
    },
    countQuiet(endpoints, prefillMs, now) {
      if (isMostlyDeferrable(now)) return 0;
      const wanted = demand.estimateArrivals(prefillMs, now);
      return Math.min(wanted, Math.floor(endpoints * MAX_QUIET_SHARE));
    },
    isBatchPaused: now =>
      !isMostlyDeferrable(now) && now - burstSeenAt < BURST_PAUSE_MS,
  };
}
