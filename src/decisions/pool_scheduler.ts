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
 * admission, fair_queue, endpoint_choice, batch_turns, endpoint_health.
 */
import {createBatchTurns} from './batch_turns.js';
import {
  computeRetryAfter,
  createDrainRate,
  decideAdmission,
  isHopeless,
} from './admission.js';
import {
  chooseForOnline,
  selectCandidates,
  type ChoiceContext,
} from './endpoint_choice.js';
import type {EndpointTracker, HeldSlot} from './endpoint_tracker.js';
import type {FairQueue} from './fair_queue.js';
import {createLatencyModel, type LatencySnapshot} from './latency_model.js';
import {ALL_MECHANISMS, type Mechanisms} from './mechanisms.js';
import {isOverdue} from './overdue.js';
import {
  ANSWER_TOKEN_WORK_MS,
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
import {createSlotLedger} from './slot_ledger.js';
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
  const queues = createWaitingQueues(mechanisms);
  const latency = createLatencyModel();
  const context: ChoiceContext = {latency, limits: initial, mechanisms};
  const drain = createDrainRate();
  let actions: SchedulerAction[] = [];
  const counts = {granted: 0, refused: 0, yielded: 0};
  const ledger = createSlotLedger(latency, mechanisms);
  const turns = createBatchTurns({
    context,
    queues,
    estimateWork,
    grant,
    orderYields,
  });

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
    ledger.add(request, tracker, now);
    counts.granted++;
    actions.push({
      kind: 'grant',
      requestId: request.id,
      endpoint: tracker.description.address,
    });
  }

  function orderYields(slots: readonly HeldSlot[], now: number) {
    for (const {request} of slots) {
      ledger.findHolder(request.id)!.markYielding(request.id, now);
      counts.yielded++;
      actions.push({kind: 'yield', requestId: request.id});
    }
  }

  function refuseExpired(now: number) {
    for (const {id} of queues.takeExpired(now)) {
      refuse(id, 'deadline', MIN_RETRY_AFTER_MS);
    }
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

  /** Does all that is due and hands over the actions. */
  function decideNext(now: number, newId?: string): SchedulerAction[] {
    refuseExpired(now);
    const open = ledger.listOpen(now);
    grantOnline(open, now, newId);
    turns.makeRoom(open, now);
    turns.startItems(open, now);
    const settled = actions;
    actions = [];
    return settled;
  }

  function checkOnline(request: ScheduledRequest, now: number): boolean {
    turns.noteQuestion(request, now);
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
    if (ledger.countListed() === 0) {
      refuse(request.id, 'no-endpoint', MIN_RETRY_AFTER_MS);
      return false;
    }
    if (waiting >= MAX_WAITING) {
      refuse(request.id, 'overloaded', drain.estimateWait(waiting));
      return false;
    }
    return request.workClass === 'batch' || checkOnline(request, now);
  }

  return {
    setEndpoints(next, now) {
      ledger.setEndpoints(next);
      return decideNext(now);
    },
    setLimits(next, now) {
      context.limits = next;
      return decideNext(now);
    },
    submit(request, now) {
      if (queues.has(request) || ledger.findHolder(request.id)) {
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
      ledger.release(requestId, outcome, now);
      return decideNext(now);
    },
    adopt(request, endpoint, now) {
      if (ledger.findHolder(request.id)) return;
      queues.remove(request.id);
      ledger.adopt(request, endpoint, now);
    },
    noteFirstByte(requestId, firstByteMs, now) {
      const holder = ledger.findHolder(requestId);
      holder?.noteFirstByte(requestId, firstByteMs, now);
    },
    noteLoad(endpoint, report, now) {
      ledger.find(endpoint)?.limit.noteReport(report, now);
    },
    noteCacheEvent(endpoint, event, now) {
      ledger.find(endpoint)?.prefixes.noteEvent(event, now);
    },
    decide(now) {
      ledger.checkProgress(now);
      return decideNext(now);
    },
    exportLatency: () => latency.exportSnapshot(),
    importLatency: snapshot => latency.importSnapshot(snapshot),
    describe: now => ({
      limits: context.limits,
      counts: {...counts},
      waiting: queues.describe(),
      latency: latency.describe(),
      onlineRate: turns.getQuestionRate(now) * 1000,
      endpoints: ledger.describe(now),
    }),
  };
}
