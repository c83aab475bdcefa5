/**
 * Decides when the batch items of a pool start, and when they stop for online
 * requests. It applies batch_pacing, batch_order and online_reserve to the
 * queues of the pool.
 */
import {groupBy} from '../common/collections.js';
import {isDueTimeUnreachable} from './batch_order.js';
import {
  chooseForBatch,
  countSlotsFreeSoon,
  isUrgent,
  selectSlotYields,
  selectUsable,
} from './batch_pacing.js';
import {
  countFreeSlots,
  isMemoryMissing,
  selectCandidates,
  type ChoiceContext,
} from './endpoint_choice.js';
import type {EndpointTracker, HeldSlot} from './endpoint_tracker.js';
import type {FairQueue, LoadReader} from './fair_queue.js';
import type {MemoryWaits} from './memory_waits.js';
import {createOnlineReserve} from './online_reserve.js';
import type {ScheduledRequest} from './scheduler_types.js';
import type {VersionWaits} from './version_waits.js';
import type {WaitingQueues} from './waiting_queues.js';

/** State and actions of the pool scheduler that the batch scheduler uses. */
export interface BatchSchedulerDependencies {
  context: ChoiceContext;
  queues: WaitingQueues;
  memoryWaits: MemoryWaits;
  versionWaits: VersionWaits;
  estimateWork: (request: ScheduledRequest) => number;
  grant: (
    request: ScheduledRequest,
    tracker: EndpointTracker,
    now: number,
  ) => void;
  orderYields: (slots: readonly HeldSlot[], now: number) => void;
  /** How to order accounts; undefined if they do not compete. */
  getLoadReader: (now: number) => LoadReader | undefined;
}

/** Starts and stops batch items between online requests. */
export interface BatchScheduler {
  /** Records the arrival of an online request. */
  noteOnlineRequest(request: ScheduledRequest, now: number): void;
  /** Returns the rate of online requests per ms. */
  getOnlineRate(now: number): number;
  /**
   * Orders items to yield to online requests that wait or are about to arrive.
   */
  preemptItems(open: readonly EndpointTracker[], now: number): void;
  /** Starts items in slots that no online request needs. */
  startItems(open: readonly EndpointTracker[], now: number): void;
}

/** Creates a batch scheduler that has seen no online requests. */
export function createBatchScheduler({
  context,
  queues,
  memoryWaits,
  versionWaits,
  estimateWork,
  grant,
  orderYields,
  getLoadReader,
}: BatchSchedulerDependencies): BatchScheduler {
  const {latency, mechanisms} = context;
  const reserve = createOnlineReserve();

  function estimateFirstByte({promptTokens}: ScheduledRequest): number {
    return latency.estimateFirstByte(promptTokens);
  }

  function isUrgentNow(request: ScheduledRequest, now: number): boolean {
    return isUrgent(request.targetAt, estimateFirstByte(request), now);
  }

  /** Counts the items that may start now, by endpoints and by slots. */
  function countStartableItems(
    open: readonly EndpointTracker[],
    request: ScheduledRequest,
    now: number,
  ): number {
    const quiet = mechanisms.quietEndpoints
      ? reserve.countQuiet(open.length, estimateFirstByte(request), now)
      : 0;
    const unoccupied = open.filter(
      each =>
        countFreeSlots(each, context, now) > 0 && !each.hasBatchPrefill(now),
    ).length;
    const reserved = mechanisms.headroom
      ? reserve.countHeadroom(open.length, now)
      : 0;
    const spare = countSlotsFreeSoon(open, context, now) - reserved;
    return Math.min(unoccupied - quiet, spare);
  }

  /**
   * Whether other items could start while this one waits for its version. Where all
   * endpoints are of that version it keeps its turn, as most items that go on do.
   */
  function isHeldUpByVersion(
    open: readonly EndpointTracker[],
    {version}: ScheduledRequest,
  ): boolean {
    return (
      version !== undefined &&
      open.some(({description}) => description.version !== version)
    );
  }

  /**
   * Starts items that waited for memory or for a version; they had their turn before the
   * others.
   */
  function startParked(open: readonly EndpointTracker[], now: number) {
    const parked = [
      ...versionWaits.list('batch'),
      ...memoryWaits.list('batch'),
    ];
    if (parked.length === 0) return;
    let room = countStartableItems(open, parked[0], now);
    for (const request of parked) {
      if (room <= 0) return;
      const candidates = selectCandidates(open, request);
      const tracker = chooseForBatch(candidates, request, context, now);
      if (!tracker) continue;
      grant(request, tracker, now);
      room--;
    }
  }

  function startFromQueue(
    queue: FairQueue,
    open: readonly EndpointTracker[],
    now: number,
  ) {
    const getLoad = getLoadReader(now);
    let request = queue.peek(undefined, getLoad);
    if (!request) return;
    let room = countStartableItems(open, request, now);
    const skipped = new Set<string>();
    for (; request && room > 0; request = queue.peek(skipped, getLoad)) {
      const candidates = selectCandidates(open, request);
      const tracker = chooseForBatch(candidates, request, context, now);
      if (!tracker && memoryWaits.park(request, candidates, now)) continue;
      if (!tracker && isHeldUpByVersion(open, request)) {
        versionWaits.park(request);
        continue;
      }
      const mayOthersStart =
        request.avoid.length > 0 ||
        isMemoryMissing(candidates, request, context, now);
      if (!tracker && !mayOthersStart) return;
      if (skipped.has(request.account)) return;
      if (tracker) {
        grant(request, tracker, now);
        room--;
      } else skipped.add(request.account);
    }
  }

  /** Orders items to yield to streams that can go on only at their version. */
  function preemptForVersions(open: readonly EndpointTracker[], now: number) {
    const waiting = versionWaits.list('online');
    for (const [version, requests] of groupBy(waiting, each => each.version)) {
      const suitable = selectUsable(open, now).filter(
        ({description}) => description.version === version,
      );
      const wanted = requests.length;
      orderYields(selectSlotYields(suitable, wanted, context, now), now);
    }
  }

  return {
    noteOnlineRequest: (request, now) =>
      reserve.note(isUrgentNow(request, now), now),
    getOnlineRate: now => reserve.getRate(now),
    preemptItems(open, now) {
      if (!mechanisms.slotYields) return;
      preemptForVersions(open, now);
      const yieldFloor = reserve.computeYieldFloor(open.length, now);
      orderYields(selectSlotYields(open, yieldFloor, context, now), now);
      const urgent = queues.online.countWhere(each => isUrgentNow(each, now));
      const overdue = queues.overdue.count();
      if (urgent + overdue === 0) return;
      const usable = selectUsable(open, now);
      orderYields(selectSlotYields(usable, urgent, context, now), now);
      if (overdue === 0) return;
      const wanted = urgent + overdue;
      const options = {sparesNearlyLate: true};
      orderYields(selectSlotYields(usable, wanted, context, now, options), now);
    },
    startItems(open, now) {
      if (queues.countOnline() > 0 || reserve.isBatchPaused(now)) return;
      const meanMs = latency.getMeanTotal('batch');
      queues.moveLate(
        request => isDueTimeUnreachable(request, meanMs, now, now),
        estimateWork,
      );
      startParked(open, now);
      startFromQueue(queues.batch, open, now);
      if (queues.batch.count() === 0) startFromQueue(queues.late, open, now);
    },
  };
}
