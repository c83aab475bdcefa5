/**
 * Where batch items may start, and which must make way.
 *
 * Pattern of load: batch work fills all that is idle, and idle lasts only
 * seconds; then a burst comes. Engines know no priority, so what batch holds
 * inside them is in the burst's way: its slots, its prefill, its steps.
 *
 * - An item starts only where the prefill queue is empty, and never while as
 *   few endpoints are free of batch prefill as online arrivals need: a question
 *   then nearly always finds an endpoint that can prefill it at once.
 * - An endpoint starts with BATCH_FIRST_ITEMS and one more for each answer: with
 *   a model that knows nothing yet, filling all slots at once would queue
 *   seconds of prefill in engines, and what comes back would teach it wrongly.
 * - BATCH_HEADROOM slots of each endpoint stay free, so that a burst starts
 *   without waiting for anyone. When the pool's free slots fall below half of
 *   that, or below what arrived in the last BURST_WINDOW_MS, or questions wait,
 *   the youngest items yield: they lose least.
 * - While a burst is seen and BURST_HOLD_MS after, no item starts: between two
 *   of a burst's requests an endpoint only looks idle.
 *
 * Stopping batch prefill that a question was sent behind was tried and taken
 * out: over both deployments it cost 0.2 to 1% of batch throughput and moved
 * neither harm nor the time a burst was held beyond what seeds differ by.
 */
import {
  countFree,
  estimateCost,
  type ChoiceContext,
} from './endpoint_choice.js';
import type {EndpointTracker, HeldSlot} from './endpoint_tracker.js';
import type {OnlineDemand} from './online_demand.js';
import {
  BATCH_LEAD_MS,
  LAST_SLOT_COST_MS,
  MAX_PREFILL_BACKLOG_MS,
  MAX_QUIET_SHARE,
} from './scheduler_constants.js';
import type {ScheduledRequest} from './scheduler_types.js';

/** Endpoints that must stay free of batch prefill. */
export function computeQuiet(
  endpoints: number,
  prefillMs: number,
  demand: OnlineDemand,
  now: number,
): number {
  const wanted = demand.estimateArrivals(prefillMs, now);
  return Math.min(wanted, Math.floor(endpoints * MAX_QUIET_SHARE));
}

/** The endpoint for a batch item, or undefined when it must wait. */
export function chooseForBatch(
  trackers: readonly EndpointTracker[],
  request: ScheduledRequest,
  context: ChoiceContext,
  now: number,
): EndpointTracker | undefined {
  let chosen: EndpointTracker | undefined;
  let least = Infinity;
  for (const tracker of trackers) {
    if (!tracker.allowsBatch()) continue;
    const free = countFree(tracker, context);
    if (free === 0 || tracker.estimateBacklog(now) > BATCH_LEAD_MS) continue;
    const lastSlot = free === 1 ? LAST_SLOT_COST_MS : 0;
    const cost = lastSlot + estimateCost(tracker, request, context, now);
    if (cost >= least) continue;
    chosen = tracker;
    least = cost;
  }
  return chosen;
}

/** Slots that are free or about to be. */
export function countRoom(
  trackers: readonly EndpointTracker[],
  context: ChoiceContext,
): number {
  let room = 0;
  for (const tracker of trackers) {
    room += countFree(tracker, context) + tracker.countYielding();
  }
  return room;
}

/** Endpoints that can take a question as soon as a slot is free. */
export function selectUsable(
  trackers: readonly EndpointTracker[],
  now: number,
): EndpointTracker[] {
  return trackers.filter(
    tracker => tracker.estimateBacklog(now) <= MAX_PREFILL_BACKLOG_MS,
  );
}

/**
 * Items to stop so that `wanted` slots are free or about to be, on those
 * endpoints first that have the fewest. Of an endpoint's items the youngest go.
 */
export function selectSlotYields(
  trackers: readonly EndpointTracker[],
  wanted: number,
  context: ChoiceContext,
): HeldSlot[] {
  let missing = wanted - countRoom(trackers, context);
  if (missing <= 0) return [];
  const rooms = trackers.map(tracker => ({
    free: countRoom([tracker], context),
    items: tracker.listYieldable(),
  }));
  const chosen: HeldSlot[] = [];
  for (; missing > 0; missing--) {
    const room = pickFullest(rooms.filter(({items}) => items.length > 0));
    if (!room) break;
    chosen.push(room.items.shift()!);
    room.free++;
  }
  return chosen;
}

function pickFullest<Room extends {free: number}>(
  rooms: readonly Room[],
): Room | undefined {
  let fullest: Room | undefined;
  for (const room of rooms) {
    if (!fullest || room.free < fullest.free) fullest = room;
  }
  return fullest;
}
