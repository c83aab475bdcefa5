/**
 * Decides which request of a pool runs where and when. The dispatcher of a
 * pool feeds it what happens and carries out the actions it returns; plays
 * drive the same code on virtual time.
 *
 * Pattern of load: online bursts and long batch work on endpoints that know no
 * priority and report their load late. Without one place that sees every
 * request and every slot, batch work sits in the engines when a burst comes.
 *
 * This module only puts the decisions together; each has a module of its own:
 * admission, fair_queue, endpoint_choice, batch_pacing, endpoint_health.
 */
import {
  computeRetryAfter,
  createDrainRate,
  decideAdmission,
  isHopeless,
} from './admission.js';
import {isPastSaving} from './batch_order.js';
import {
  chooseForBatch,
  countRoom,
  isUrgent,
  selectSlotYields,
  selectUsable,
} from './batch_pacing.js';
import {
  chooseForOnline,
  countFree,
  isOpen,
  selectCandidates,
  type ChoiceContext,
} from './endpoint_choice.js';
import {
  createEndpointTracker,
  type EndpointTracker,
  type HeldSlot,
} from './endpoint_tracker.js';
import type {FairQueue} from './fair_queue.js';
import {createLatencyModel, type LatencySnapshot} from './latency_model.js';
import {ALL_MECHANISMS, type Mechanisms} from './mechanisms.js';
import {createOnlineReserve} from './online_reserve.js';
import {isOverdue} from './overdue.js';
import {
  ANSWER_TOKEN_WORK_MS,
  MAX_EJECTED_SHARE,
  MAX_WAITING,
  MIN_RETRY_AFTER_MS,
} from './scheduler_constants.js';
import type {
  EndpointDescription,
  LoadReport,
  CacheEvent,
  PoolLimits,
  RefusalReason,
  ScheduledRequest,
  SchedulerAction,
  SchedulerOutcome,
} from './scheduler_types.js';
import {createWaitingQueues} from './waiting_queues.js';

/** Actions come back in the order in which they must be carried out. */
export interface PoolScheduler {
  /** Replaces the endpoints that take new work. */
  setEndpoints(
    endpoints: readonly EndpointDescription[],
    now: number,
  ): SchedulerAction[];
  /** Replaces limits when the service document changes. */
  setLimits(limits: PoolLimits, now: number): SchedulerAction[];
  /** A request asks for a slot; one that waits already is not added twice. */
  submit(request: ScheduledRequest, now: number): SchedulerAction[];
  /** A waiting request's caller is gone. */
  cancel(requestId: string, now: number): SchedulerAction[];
  /** A granted request has ended. Unknown ids are ignored. */
  release(
    requestId: string,
    outcome: SchedulerOutcome,
    now: number,
  ): SchedulerAction[];
  /**
   * The first byte of a granted request came `firstByteMs` after it was sent.
   * Optional: without it, the same is learned when the request ends.
   */
  noteFirstByte(requestId: string, firstByteMs: number, now: number): void;
  /** A request that another dispatcher granted runs here: count its slot. */
  adopt(request: ScheduledRequest, endpoint: string, now: number): void;
  /** An endpoint's own report of its load; it lags. */
  noteLoad(endpoint: string, report: LoadReport, now: number): void;
  /** An endpoint's cache stored or dropped a prefix; late and with gaps. */
  noteCacheEvent(endpoint: string, event: CacheEvent, now: number): void;
  /** Time has passed: expire, refuse, probe, grant. Call each 20 ms or so. */
  decide(now: number): SchedulerAction[];
  /** What was learned of the pool's latency, for the next dispatcher. */
  exportLatency(): LatencySnapshot | undefined;
  importLatency(snapshot: LatencySnapshot): void;
  /** State for dumps, without secrets. */
  describe(now: number): object;
}

/** Starts without endpoints. */
export function createPoolScheduler(
  initial: PoolLimits,
  mechanisms: Readonly<Mechanisms> = ALL_MECHANISMS,
): PoolScheduler {
  let listed: EndpointTracker[] = [];
  const trackers = new Map<string, EndpointTracker>();
  const holders = new Map<string, EndpointTracker>();
  const queues = createWaitingQueues(mechanisms);
  const latency = createLatencyModel();
  const context: ChoiceContext = {latency, limits: initial, mechanisms};
  const reserve = createOnlineReserve();
  const drain = createDrainRate();
  let actions: SchedulerAction[] = [];
  const counts = {granted: 0, refused: 0, yielded: 0};

  function getTracker(description: EndpointDescription): EndpointTracker {
    const held = trackers.get(description.address);
    const tracker =
      held ?? createEndpointTracker(description, latency, mechanisms);
    tracker.description = description;
    trackers.set(description.address, tracker);
    return tracker;
  }

  function estimateWork(request: ScheduledRequest): number {
    return (
      latency.estimatePrefill(request.promptTokens) +
      ANSWER_TOKEN_WORK_MS * (request.answerTokens + 1)
    );
  }

  /** From grant to the end of the answer; of the prompt the least. */
  function estimateOwnTime(request: ScheduledRequest): number {
    return (
      latency.estimateFirstByte(0) +
      latency.estimateAnswer(request.answerTokens)
    );
  }

  function refuse(
    requestId: string,
    reason: RefusalReason,
    retryAfter: number,
  ) {
    counts.refused++;
    actions.push({
      kind: 'refuse',
      requestId,
      reason,
      retryAfterMs: computeRetryAfter(retryAfter),
    });
  }

  function estimateFirstByte({promptTokens}: ScheduledRequest): number {
    return latency.estimateFirstByte(promptTokens);
  }

  function isOverdueNow(request: ScheduledRequest, now: number): boolean {
    return isOverdue(request.targetAt, estimateFirstByte(request), now);
  }

  function grant(
    request: ScheduledRequest,
    tracker: EndpointTracker,
    now: number,
  ) {
    queues.take(request);
    if (tracker.health.shouldProbe(now)) tracker.health.noteProbe(now);
    tracker.addSlot(request, now);
    holders.set(request.id, tracker);
    counts.granted++;
    actions.push({
      kind: 'grant',
      requestId: request.id,
      endpoint: tracker.description.address,
    });
  }

  function orderYields(slots: readonly HeldSlot[], now: number) {
    for (const {request} of slots) {
      holders.get(request.id)!.markYielding(request.id, now);
      counts.yielded++;
      actions.push({kind: 'yield', requestId: request.id});
    }
  }

  function refuseExpired(now: number) {
    for (const {id} of queues.takeExpired(now)) {
      refuse(id, 'deadline', MIN_RETRY_AFTER_MS);
    }
  }

  /**
   * Endpoints for new work. When more are out than MAX_EJECTED_SHARE, the
   * cause is not theirs, and all but the suspected take work again.
   */
  function listOpen(now: number): EndpointTracker[] {
    if (!mechanisms.ejection) return listed;
    const open = listed.filter(tracker => isOpen(tracker, now));
    const allowed = Math.max(
      Math.min(1, listed.length - 1),
      Math.floor(listed.length * MAX_EJECTED_SHARE),
    );
    return listed.length - open.length > allowed ? listed : open;
  }

  function isTooLate(request: ScheduledRequest, now: number): boolean {
    if (!mechanisms.admission) return false;
    return isHopeless(estimateOwnTime(request), request.deadline, now);
  }

  /** Grants in fair order; an account whose head must wait is passed over. */
  function grantOnline(
    open: readonly EndpointTracker[],
    now: number,
    newId?: string,
  ) {
    queues.moveOverdue(request => isOverdueNow(request, now), estimateWork);
    grantFrom(queues.online, open, now, newId);
    if (queues.online.count() === 0) {
      grantFrom(queues.overdue, open, now, newId);
    }
    if (queues.countOnline() === 0) drain.reset();
  }

  function grantFrom(
    queue: FairQueue,
    open: readonly EndpointTracker[],
    now: number,
    newId?: string,
  ) {
    const passed = new Set<string>();
    for (;;) {
      const request = queue.peek(passed);
      if (!request) break;
      if (request.id !== newId && isTooLate(request, now)) {
        queue.remove(request.id);
        refuse(
          request.id,
          'deadline',
          drain.estimateWait(queues.countOnline()),
        );
        continue;
      }
      const candidates = selectCandidates(open, request);
      const tracker = chooseForOnline(candidates, request, context, now);
      if (!tracker) {
        // Only a request that avoids endpoints may wait where others go on.
        if (request.avoid.length === 0 || passed.has(request.account)) break;
        passed.add(request.account);
        continue;
      }
      grant(request, tracker, now);
      drain.note(now);
    }
  }

  /** Stops items for questions that wait, or are about to come. */
  function reserveForOnline(open: readonly EndpointTracker[], now: number) {
    if (!mechanisms.slotYields) return;
    const ahead = reserve.countAhead(open.length, now);
    const free = selectSlotYields(open, ahead, context, now);
    orderYields(free, now);
    const urgent = queues.online.countWhere(request =>
      isUrgent(request.targetAt, estimateFirstByte(request), now),
    );
    const overdue = queues.overdue.count();
    if (urgent + overdue === 0) return;
    const usable = selectUsable(open, now);
    orderYields(selectSlotYields(usable, urgent, context, now), now);
    if (overdue === 0) return;
    const spared = {sparing: true};
    orderYields(
      selectSlotYields(usable, urgent + overdue, context, now, spared),
      now,
    );
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
      each => countFree(each, context) > 0 && !each.hasBatchPrefill(now),
    ).length;
    const reserved = mechanisms.headroom
      ? reserve.countHeadroom(open.length, now)
      : 0;
    const spare = countRoom(open, context, now) - reserved;
    return Math.min(unoccupied - quiet, spare);
  }

  function grantBatch(open: readonly EndpointTracker[], now: number) {
    if (queues.countOnline() > 0 || reserve.isHeld(now)) return;
    const meanMs = latency.getMeanTotal('batch');
    queues.moveLate(
      request => isPastSaving(request, meanMs, now, now),
      estimateWork,
    );
    grantItems(queues.batch, open, now);
    if (queues.batch.count() === 0) grantItems(queues.late, open, now);
  }

  function grantItems(
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

  /** Does all that is due and hands over the actions. */
  function decideNext(now: number, newId?: string): SchedulerAction[] {
    refuseExpired(now);
    const open = listOpen(now);
    grantOnline(open, now, newId);
    reserveForOnline(open, now);
    grantBatch(open, now);
    const settled = actions;
    actions = [];
    return settled;
  }

  function checkOnline(request: ScheduledRequest, now: number): boolean {
    reserve.note(
      isUrgent(request.targetAt, estimateFirstByte(request), now),
      now,
    );
    if (!mechanisms.admission) return true;
    const position = queues.online.computePosition(
      request.account,
      request.weight,
    );
    const wait = queues.online.count() === 0 ? 0 : drain.estimateWait(position);
    const own = estimateOwnTime(request);
    const retryAfter =
      wait === 0 ? undefined : decideAdmission(wait, own, request, now);
    if (retryAfter === undefined) return true;
    refuse(request.id, 'overloaded', retryAfter);
    return false;
  }

  function checkAdmission(request: ScheduledRequest, now: number): boolean {
    const waiting = queues[request.workClass].count();
    if (listed.length === 0) {
      refuse(request.id, 'no-endpoint', MIN_RETRY_AFTER_MS);
      return false;
    }
    if (waiting >= MAX_WAITING) {
      refuse(request.id, 'overloaded', drain.estimateWait(waiting));
      return false;
    }
    return request.workClass === 'batch' || checkOnline(request, now);
  }

  function releaseSlot(id: string, outcome: SchedulerOutcome, now: number) {
    const tracker = holders.get(id);
    if (!tracker) return;
    holders.delete(id);
    tracker.releaseSlot(id, outcome, now);
    const isDone = !tracker.isListed && tracker.countRunning() === 0;
    if (isDone) trackers.delete(tracker.description.address);
  }

  return {
    setEndpoints(next, now) {
      listed = next.map(getTracker);
      const addresses = new Set(next.map(({address}) => address));
      for (const [address, tracker] of trackers) {
        tracker.isListed = addresses.has(address);
        if (!tracker.isListed && tracker.countRunning() === 0) {
          trackers.delete(address);
        }
      }
      return decideNext(now);
    },
    setLimits(next, now) {
      context.limits = next;
      return decideNext(now);
    },
    submit(request, now) {
      if (queues.has(request) || holders.has(request.id)) {
        return decideNext(now);
      }
      if (checkAdmission(request, now)) {
        queues[request.workClass].push(request, estimateWork(request));
      }
      return decideNext(now, request.id);
    },
    cancel(requestId, now) {
      queues.remove(requestId);
      return decideNext(now);
    },
    release(requestId, outcome, now) {
      releaseSlot(requestId, outcome, now);
      return decideNext(now);
    },
    adopt(request, endpoint, now) {
      if (holders.has(request.id)) return;
      queues.remove(request.id);
      const tracker =
        trackers.get(endpoint) ??
        getTracker({address: endpoint, failureDomain: ''});
      if (!listed.includes(tracker)) tracker.isListed = false;
      tracker.adoptSlot(request, now);
      holders.set(request.id, tracker);
    },
    noteFirstByte(requestId, firstByteMs, now) {
      holders.get(requestId)?.noteFirstByte(requestId, firstByteMs, now);
    },
    noteLoad(endpoint, report, now) {
      trackers.get(endpoint)?.limit.noteReport(report, now);
    },
    noteCacheEvent(endpoint, event, now) {
      trackers.get(endpoint)?.prefixes.noteEvent(event, now);
    },
    decide(now) {
      for (const tracker of listed) tracker.checkProgress(now);
      return decideNext(now);
    },
    exportLatency: () => latency.exportSnapshot(),
    importLatency: snapshot => latency.importSnapshot(snapshot),
    describe: now => ({
      limits: context.limits,
      counts: {...counts},
      waiting: queues.describe(),
      latency: latency.describe(),
      onlineRate: reserve.getRate(now) * 1000,
      endpoints: [...trackers.values()].map(each => each.describe(now)),
    }),
  };
}
