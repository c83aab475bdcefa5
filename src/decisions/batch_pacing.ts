/**
 * Decides where batch items may start, and how many must yield.
 *
 * Load pattern: batch work fills all idle slots, but they are idle only for
 * seconds until a burst arrives. Engines have no priorities, so without this
 * module the batch work inside them blocks the burst with its slots, its
 * prefill and its share of each step.
 *
 * - Items yield as soon as a waiting online request would otherwise miss its
 *   target (YIELD_SLACK_MS). Before that, the request waits for a slot that
 *   becomes free by itself, which under steady load happens every few ms.
 *   online_reserve.ts decides what is kept free in addition.
 * - batch_order.ts decides which items yield first. If they yielded by age, the
 *   same item could be stopped again and again until it is late.
 * - A slot that its holder does not free within YIELD_TIMEOUT_MS is not waited
 *   for. Its instance is frozen or unreachable, so another item must yield.
 * - An item starts only on an endpoint whose prefill queue is empty.
 * - An endpoint starts with INITIAL_BATCH_ITEMS, and each answer allows one
 *   more. Filling all slots at once while the latency model has learned nothing
 *   would queue seconds of prefill in the engines, and the model would learn
 *   wrong values from the delayed answers.
 *
 * Also stopping batch prefills that an online request is queued behind was
 * tried and removed. In both deployments it cost 0.2 to 1% of batch throughput.
 * Neither the late online requests nor the time until a burst was served
 * changed by more than the difference between seeds.
 */
import {isNearlyLate, sortForYield} from './batch_order.js';
import {
  countFreeSlots,
  estimateCost,
  hasMemoryFor,
  type ChoiceContext,
} from './endpoint_choice.js';
import type {EndpointTracker, HeldSlot} from './endpoint_tracker.js';
import {
  MAX_BATCH_BACKLOG_MS,
  LAST_SLOT_COST_MS,
  MAX_PREFILL_BACKLOG_MS,
  YIELD_SLACK_MS,
  YIELD_TIMEOUT_MS,
} from './scheduler_constants.js';
import type {ScheduledRequest} from './scheduler_types.js';

/**
 * Whether a waiting online request would miss its target by waiting much
 * longer. A request without a target is always urgent.
 */
export function isUrgent(
  targetAt: number | undefined,
  firstByteMs: number,
  now: number,
): boolean {
  if (targetAt === undefined) return true;
  return targetAt - firstByteMs - now < YIELD_SLACK_MS;
}

/**
 * Chooses the endpoint for a batch item; undefined if it must wait. An endpoint
 * whose pace would make the item miss its target for the pause between events
 * gets it only if no other endpoint has room.
 */
export function chooseForBatch(
  trackers: readonly EndpointTracker[],
  request: ScheduledRequest,
  context: ChoiceContext,
  now: number,
): EndpointTracker | undefined {
  const {maxFactor} = request;
  if (maxFactor === undefined)
    return chooseCheapest(trackers, request, context, now);
  const inTime = trackers.filter(
    tracker =>
      !tracker.pace.hasReported() || tracker.estimateFactor(now) <= maxFactor,
  );
  return (
    chooseCheapest(inTime, request, context, now) ??
    chooseCheapest(trackers, request, context, now)
  );
}

function chooseCheapest(
  trackers: readonly EndpointTracker[],
  request: ScheduledRequest,
  context: ChoiceContext,
  now: number,
): EndpointTracker | undefined {
  let chosen: EndpointTracker | undefined;
  let least = Infinity;
  for (const tracker of trackers) {
    if (!tracker.allowsBatch()) continue;
    const free = countFreeSlots(tracker, context, now);
    if (free === 0 || tracker.estimateBacklog(now) > MAX_BATCH_BACKLOG_MS)
      continue;
    if (!hasMemoryFor(tracker, request, context, now)) continue;
    const lastSlot = free === 1 ? LAST_SLOT_COST_MS : 0;
    const cost = lastSlot + estimateCost(tracker, request, context, now);
    if (cost >= least) continue;
    chosen = tracker;
    least = cost;
  }
  return chosen;
}

/** Counts slots that are free or about to be freed by a yield. */
export function countSlotsFreeSoon(
  trackers: readonly EndpointTracker[],
  context: ChoiceContext,
  now: number,
): number {
  let room = 0;
  for (const tracker of trackers) {
    room += countFreeSlots(tracker, context, now);
    room += tracker.countYielding(now - YIELD_TIMEOUT_MS);
  }
  return room;
}

/** Selects endpoints that can take an online request once a slot is free. */
export function selectUsable(
  trackers: readonly EndpointTracker[],
  now: number,
): EndpointTracker[] {
  return trackers.filter(
    tracker => tracker.estimateBacklog(now) <= MAX_PREFILL_BACKLOG_MS,
  );
}

/**
 * Selects the items to stop so that `wanted` slots are free or about to be.
 * With `sparesNearlyLate`, items that a stop would make late are not selected.
 */
export function selectSlotYields(
  trackers: readonly EndpointTracker[],
  wanted: number,
  context: ChoiceContext,
  now: number,
  {sparesNearlyLate = false} = {},
): HeldSlot[] {
  const missing = wanted - countSlotsFreeSoon(trackers, context, now);
  if (missing <= 0) return [];
  const meanMs = context.latency.getMeanTotal('batch');
  const items = trackers
    .flatMap(tracker => tracker.listYieldable())
    .filter(item => !sparesNearlyLate || !isNearlyLate(item, meanMs, now));
  return sortForYield(items, meanMs, now).slice(0, missing);
}
