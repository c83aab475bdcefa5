/**
 * Decides which batch items start first, and which yield first.
 *
 * Load pattern: more batch work than can be done before it is due, after all
 * instances were lost or while endpoints are out of service. In order of due
 * times alone, every item is served just as it becomes late: items that can no
 * longer be in time hold the slots in which later ones could be, and none is in
 * time.
 *
 * - Items that can still be in time start before those that cannot, earliest
 *   due time first. The others follow as soon as none of these is left.
 * - Items that can no longer be in time yield first, since they lose nothing.
 *   Then those with the latest due time yield, which have the most time left.
 * - An item that would be late only because of a stop keeps its slot while all
 *   waiting online requests are late already.
 */
import type {HeldSlot} from './endpoint_tracker.js';
import {REQUEUE_WAIT_MS} from './scheduler_constants.js';
import type {ScheduledRequest} from './scheduler_types.js';

/**
 * Whether an item would miss its due time even if it ran without a stop.
 * `meanMs` is the mean run time, used if its holder gave no `workMs`.
 */
export function isDueTimeUnreachable(
  {dueAt, workMs}: ScheduledRequest,
  meanMs: number,
  startedAt: number,
  now: number,
): boolean {
  if (dueAt === undefined) return false;
  const leftMs = Math.max(0, (workMs ?? meanMs) - (now - startedAt));
  return now + leftMs > dueAt;
}

/**
 * Whether an item would be late only because it is stopped now. Such an item
 * yields to online requests that can still be in time, but not to those that
 * already missed their objective.
 */
export function isNearlyLate(
  {request, grantedAt}: HeldSlot,
  meanMs: number,
  now: number,
): boolean {
  const soon = now + REQUEUE_WAIT_MS;
  return (
    !isDueTimeUnreachable(request, meanMs, grantedAt, now) &&
    isDueTimeUnreachable(request, meanMs, grantedAt + REQUEUE_WAIT_MS, soon)
  );
}

/** Sorts running items by the order in which they yield. */
export function sortForYield(
  slots: readonly HeldSlot[],
  meanMs: number,
  now: number,
): HeldSlot[] {
  const isLate = ({request, grantedAt}: HeldSlot) =>
    isDueTimeUnreachable(request, meanMs, grantedAt, now);
  return [...slots].sort(
    (a, b) =>
      Number(isLate(b)) - Number(isLate(a)) ||
      getDueAt(b) - getDueAt(a) ||
      b.grantedAt - a.grantedAt,
  );
}

function getDueAt({request}: HeldSlot): number {
  return request.dueAt ?? request.deadline;
}
