/**
 * Which batch items go first, and which make way first.
 *
 * Pattern of load: more batch work than fits before it is due, after all
 * instances were lost or while endpoints are out. In order of due times alone
 * every item is served just as it becomes late: items past saving hold the
 * slots in which those behind them could have been done, and none is in time.
 *
 * - Items that can still be in time go before those that cannot, and of them
 *   the one that is due first. The others follow as soon as none is left.
 * - Items that cannot be in time any more make way first: they lose nothing.
 *   Then those due last, which have the most time to go on. What would be late
 *   for being stopped now goes on while only late questions wait.
 */
import type {HeldSlot} from './endpoint_tracker.js';
import {REQUEUE_WAIT_MS} from './scheduler_constants.js';
import type {ScheduledRequest} from './scheduler_types.js';

/**
 * Whether an item's result would come after it is due even if it went on
 * without a stop. `meanMs`: what items take, where its holder did not say.
 */
export function isPastSaving(
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
 * Whether an item would be late for being stopped now. Such an item does not
 * make way for questions that have missed their objective already; it does for
 * those that can still be in time.
 */
export function isTight(
  {request, grantedAt}: HeldSlot,
  meanMs: number,
  now: number,
): boolean {
  const soon = now + REQUEUE_WAIT_MS;
  return (
    !isPastSaving(request, meanMs, grantedAt, now) &&
    isPastSaving(request, meanMs, grantedAt + REQUEUE_WAIT_MS, soon)
  );
}

/** Running items in the order in which they make way. */
export function sortForYield(
  slots: readonly HeldSlot[],
  meanMs: number,
  now: number,
): HeldSlot[] {
  const isLost = ({request, grantedAt}: HeldSlot) =>
    isPastSaving(request, meanMs, grantedAt, now);
  return [...slots].sort(
    (a, b) =>
      Number(isLost(b)) - Number(isLost(a)) ||
      getDueAt(b) - getDueAt(a) ||
      b.grantedAt - a.grantedAt,
  );
}

function getDueAt({request}: HeldSlot): number {
  return request.dueAt ?? request.deadline;
}
