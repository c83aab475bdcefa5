/**
 * What is kept free of batch work for questions that have not come yet.
 *
 * Pattern of load: steps and bursts of questions beside batch work that fills
 * all that is idle. Whether a question may find every slot taken depends on the
 * time it has: one with an objective some hundred ms off loses nothing by
 * waiting until an item has made way, one without an objective, or with a close
 * one, is late by every ms.
 *
 * - While most questions come with time to wait (PATIENT_SHARE), that time is
 *   the buffer. Kept free is only what arrives while an item makes way. Slots
 *   kept empty beyond it, and items stopped ahead of need, cost batch an eighth
 *   of the fleet and its items several restarts each, and buy nothing.
 * - Otherwise slots are the buffer: BATCH_HEADROOM of each endpoint stay free,
 *   items make way when fewer than half of that are left or a burst begins, and
 *   while a burst is seen and BURST_HOLD_MS after no item starts: between two of
 *   a burst's requests an endpoint only looks idle. As few endpoints as arrivals
 *   need are kept free of batch prefill.
 */
import {
  createOnlineDemand,
  estimateArriving,
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

/** Follows the questions that come. Slots and endpoints are of one pool. */
export interface OnlineReserve {
  /** A question came; `isPressing`: it has no time to wait for an item. */
  note(isPressing: boolean, now: number): void;
  /** Questions a ms. */
  getRate(now: number): number;
  /** Slots that batch items leave free when they start. */
  countHeadroom(endpoints: number, now: number): number;
  /** Free slots below which items make way ahead of need. */
  countAhead(endpoints: number, now: number): number;
  /** Endpoints to keep free of batch prefills of `prefillMs`. */
  countQuiet(endpoints: number, prefillMs: number, now: number): number;
  /** Whether no item may start at all. */
  isHeld(now: number): boolean;
}

/** Starts without questions. */
export function createOnlineReserve(): OnlineReserve {
  const demand = createOnlineDemand(DEMAND_WINDOW_MS);
  const urgent = createOnlineDemand(DEMAND_WINDOW_MS);
  const burst = createOnlineDemand(BURST_WINDOW_MS);
  let burstSeenAt = -Infinity;

  function isPatient(now: number): boolean {
    const rate = demand.getRate(now);
    return rate > 0 && urgent.getRate(now) <= (1 - DEFERRABLE_SHARE) * rate;
  }

  return {
    note(isPressing, now) {
      demand.note(now);
      burst.note(now);
      if (isPressing) urgent.note(now);
      if (isBurst(burst, demand, now)) burstSeenAt = now;
    },
    getRate: demand.getRate,
    countHeadroom(endpoints, now) {
      if (!isPatient(now)) return endpoints * BATCH_HEADROOM;
      return Math.round(demand.getRate(now) * YIELD_MS);
    },
    countAhead(endpoints, now) {
      if (isPatient(now)) return 0;
      const floor = Math.ceil(endpoints * FREE_SLOT_FLOOR);
      return Math.max(floor, estimateArriving(burst, demand, now));
    },
    countQuiet(endpoints, prefillMs, now) {
      if (isPatient(now)) return 0;
      const wanted = demand.estimateArrivals(prefillMs, now);
      return Math.min(wanted, Math.floor(endpoints * MAX_QUIET_SHARE));
    },
    isHeld: now => !isPatient(now) && now - burstSeenAt < BURST_PAUSE_MS,
  };
}
