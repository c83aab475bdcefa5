/**
 * Where batch items may start, and which must make way.
 *
 * Pattern of load: batch work fills all that is idle, and idle lasts only
 * seconds; then a burst comes. Engines know no priority, so what batch holds
 * inside them is in the burst's way: its slots, its prefill, its steps.
 *
 * - Items make way as soon as a waiting question would otherwise miss its target
 *   (YIELD_SLACK_MS). Until then it waits for a slot that comes free by itself,
 *   which under steady load one does every few ms. What is kept free besides is
 *   said in online_reserve.ts.
 * - Which items make way first is said in batch_order.ts. Stopped by age, an
 *   item could be stopped until it was late.
 * - A slot whose holder does not give it back within YIELD_TIMEOUT_MS is not
 *   waited for: its instance is frozen or cut off, and another item must go.
 * - An item starts only where the prefill queue is empty.
 * - An endpoint starts with BATCH_FIRST_ITEMS and one more for each answer: with
 *   a model that knows nothing yet, filling all slots at once would queue
 *   seconds of prefill in engines, and what comes back would teach it wrongly.
 *
 * Stopping batch prefill that a question was sent behind was tried and taken
 * out: over both deployments it cost 0.2 to 1% of batch throughput and moved
 * neither harm nor the time a burst was held beyond what seeds differ by.
 */
import {isTight, sortForYield} from './batch_order.js';
import {
  countFreeSlots,
  estimateCost,
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
 * Whether a waiting question would miss its target by waiting much longer. One
 * without a target is as soon as possible.
 */
export function isUrgent(
  targetAt: number | undefined,
  firstByteMs: number,
  now: number,
): boolean {
  if (targetAt === undefined) return true;
  return targetAt - firstByteMs - now < YIELD_SLACK_MS;
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
    const free = countFreeSlots(tracker, context);
    if (free === 0 || tracker.estimateBacklog(now) > MAX_BATCH_BACKLOG_MS)
      continue;
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
  now: number,
): number {
  let room = 0;
  for (const tracker of trackers) {
    room += countFreeSlots(tracker, context);
    room += tracker.countYielding(now - YIELD_TIMEOUT_MS);
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
 * Items to stop so that `wanted` slots are free or about to be; with `sparing`,
 * none that would be late for it.
 */
export function selectSlotYields(
  trackers: readonly EndpointTracker[],
  wanted: number,
  context: ChoiceContext,
  now: number,
  {sparing = false} = {},
): HeldSlot[] {
  const missing = wanted - countRoom(trackers, context, now);
  if (missing <= 0) return [];
  const meanMs = context.latency.getMeanTotal('batch');
  const items = trackers
    .flatMap(tracker => tracker.listYieldable())
    .filter(item => !sparing || !isTight(item, meanMs, now));
  return sortForYield(items, meanMs, now).slice(0, missing);
}
