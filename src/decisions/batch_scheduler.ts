/**
 * When batch items of a pool start, and when they stop for questions: ties
 * batch_pacing, batch_order and online_reserve to the pool's queues.
 */
import {isPastSaving} from './batch_order.js';
import {
  chooseForBatch,
  countRoom,
  isUrgent,
  selectSlotYields,
  selectUsable,
} from './batch_pacing.js';
import {
  countFreeSlots,
  selectCandidates,
  type ChoiceContext,
} from './endpoint_choice.js';
import type {EndpointTracker, HeldSlot} from './endpoint_tracker.js';
import type {FairQueue} from './fair_queue.js';
import {createOnlineReserve} from './online_reserve.js';
import type {ScheduledRequest} from './scheduler_types.js';
import type {WaitingQueues} from './waiting_queues.js';

/** What the scheduler does for the turns. */
export interface BatchSchedulerDependencies {
  context: ChoiceContext;
  queues: WaitingQueues;
  estimateWork: (request: ScheduledRequest) => number;
  grant: (
    request: ScheduledRequest,
    tracker: EndpointTracker,
    now: number,
  ) => void;
  orderYields: (slots: readonly HeldSlot[], now: number) => void;
}

/** Turns of batch items among questions. */
export interface BatchScheduler {
  /** A question came. */
  noteOnlineRequest(request: ScheduledRequest, now: number): void;
  /** Questions a ms. */
  getOnlineRate(now: number): number;
  /** Stops items for questions that wait, or are about to come. */
  preemptItems(open: readonly EndpointTracker[], now: number): void;
  /** Starts items where no question would miss the slot. */
  startItems(open: readonly EndpointTracker[], now: number): void;
}

/** Starts without questions. */
export function createBatchScheduler({
  context,
  queues,
  estimateWork,
  grant,
  orderYields,
}: BatchSchedulerDependencies): BatchScheduler {
  const {latency, mechanisms} = context;
  const reserve = createOnlineReserve();

  function estimateFirstByte({promptTokens}: ScheduledRequest): number {
    return latency.estimateFirstByte(promptTokens);
  }

  function isUrgentNow(request: ScheduledRequest, now: number): boolean {
    return isUrgent(request.targetAt, estimateFirstByte(request), now);
  }

  /** Endpoints and slots that items may still take now. */
  function countBatchRoom(
    open: readonly EndpointTracker[],
    request: ScheduledRequest,
    now: number,
  ): number {
    const quiet = mechanisms.quietEndpoints
      ? reserve.countQuiet(open.length, estimateFirstByte(request), now)
      : 0;
    const unoccupied = open.filter(
      each => countFreeSlots(each, context) > 0 && !each.hasBatchPrefill(now),
    ).length;
    const reserved = mechanisms.headroom
      ? reserve.countHeadroom(open.length, now)
      : 0;
    const spare = countRoom(open, context, now) - reserved;
    return Math.min(unoccupied - quiet, spare);
  }

  function startFrom(
    queue: FairQueue,
    open: readonly EndpointTracker[],
    now: number,
  ) {
    let request = queue.peek();
    if (!request) return;
    let room = countBatchRoom(open, request, now);
    const passed = new Set<string>();
    for (; request && room > 0; request = queue.peek(passed)) {
      const candidates = selectCandidates(open, request);
      const tracker = chooseForBatch(candidates, request, context, now);
      if (!tracker && request.avoid.length === 0) return;
      if (passed.has(request.account)) return;
      if (tracker) {
        grant(request, tracker, now);
        room--;
      } else passed.add(request.account);
    }
  }

  return {
    noteOnlineRequest: (request, now) =>
      reserve.note(isUrgentNow(request, now), now),
    getOnlineRate: now => reserve.getRate(now),
    preemptItems(open, now) {
      if (!mechanisms.slotYields) return;
      const ahead = reserve.countAhead(open.length, now);
      orderYields(selectSlotYields(open, ahead, context, now), now);
      const urgent = queues.online.countWhere(each => isUrgentNow(each, now));
      const overdue = queues.overdue.count();
      if (urgent + overdue === 0) return;
      const usable = selectUsable(open, now);
      orderYields(selectSlotYields(usable, urgent, context, now), now);
      if (overdue === 0) return;
      const wanted = urgent + overdue;
      const spared = {sparing: true};
      orderYields(selectSlotYields(usable, wanted, context, now, spared), now);
    },
    startItems(open, now) {
      if (queues.countOnline() > 0 || reserve.isHeld(now)) return;
      const meanMs = latency.getMeanTotal('batch');
      queues.moveLate(
        request => isPastSaving(request, meanMs, now, now),
        estimateWork,
      );
      startFrom(queues.batch, open, now);
      if (queues.batch.count() === 0) startFrom(queues.late, open, now);
    },
  };
}
