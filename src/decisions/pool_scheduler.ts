/**
 * Decides which request of a pool runs on which endpoint and when. The pool's
 * dispatcher reports events to it and carries out the actions it returns.
 * Simulations run the same code on virtual time.
 *
 * Load pattern: online bursts beside long batch work, on endpoints that have no
 * priorities and report their load late. Without one scheduler that sees every
 * request and every slot of a pool, batch work occupies the engines when a
 * burst arrives.
 *
 * This module only combines the decisions. Each has a module of its own:
 * admission, fair_queue, endpoint_choice, batch_scheduler, endpoint_health.
 */
import {createAccountCompetition} from './account_competition.js';
import type {ShareSummary} from './account_shares.js';
import {createBatchScheduler} from './batch_scheduler.js';
import {
  createDrainRate,
  decideAdmission,
  isDeadlineUnreachable,
} from './admission.js';
import {
  chooseForOnline,
  isMemoryMissing,
  countSlots,
  selectCandidates,
  type ChoiceContext,
} from './endpoint_choice.js';
import type {EndpointTracker, HeldSlot} from './endpoint_tracker.js';
import type {ReportResult} from './endpoint_pace.js';
import {checkSize} from './engine_memory.js';
import type {FairQueue} from './fair_queue.js';
import {createLatencyModel, type LatencySnapshot} from './latency_model.js';
import {ALL_MECHANISMS, type Mechanisms} from './mechanisms.js';
import {createMemoryWaits} from './memory_waits.js';
import {isOverdue} from './overdue.js';
import {
  ANSWER_TOKEN_WORK_MS,
  MAX_WAITING,
  MIN_RETRY_AFTER_MS,
} from './scheduler_constants.js';
import type {
  EndpointDescription,
  EndpointLoad,
  LoadReport,
  CacheEvent,
  PoolLimits,
  RefusalReason,
  ScheduledRequest,
  SchedulerAction,
  SchedulerOutcome,
} from './scheduler_types.js';
import {createSlotLedger} from './slot_ledger.js';
import {createVersionWaits} from './version_waits.js';
import {createWaitingQueues} from './waiting_queues.js';

/** Actions are returned in the order in which they must be carried out. */
export interface PoolScheduler {
  /** Replaces the endpoints that accept new work. */
  setEndpoints(
    endpoints: readonly EndpointDescription[],
    now: number,
  ): SchedulerAction[];
  /** Replaces the limits after a change of the service document. */
  setLimits(limits: PoolLimits, now: number): SchedulerAction[];
  /** Adds a request that needs a slot; idempotent while it waits or runs. */
  submit(request: ScheduledRequest, now: number): SchedulerAction[];
  /** Removes a waiting request whose caller has disconnected. */
  cancel(requestId: string, now: number): SchedulerAction[];
  /**
   * Frees the slot of a granted request that ended; unknown ids are ignored.
   */
  release(
    requestId: string,
    outcome: SchedulerOutcome,
    now: number,
  ): SchedulerAction[];
  /**
   * Records that the first byte of a granted request arrived `firstByteMs`
   * after it was sent. Optional: `release` reports the same time later.
   */
  noteFirstByte(requestId: string, firstByteMs: number, now: number): void;
  /** Counts the slot of a running request that another dispatcher granted. */
  adopt(request: ScheduledRequest, endpoint: string, now: number): void;
  /**
   * Records an endpoint's own load report, which lags behind its real load, or
   * the load that came with a first byte, before that first byte is recorded.
   * Returns how a reported pace was treated; undefined if there is none.
   */
  noteLoad(
    endpoint: string,
    report: LoadReport | EndpointLoad,
    now: number,
  ): ReportResult | undefined;
  /**
   * Records that an endpoint's cache stored or evicted a prefix. Events arrive
   * late, and some are lost.
   */
  noteCacheEvent(endpoint: string, event: CacheEvent, now: number): void;
  /**
   * Makes the decisions that depend on time: expires, refuses, probes, grants.
   * Call it about every 20 ms.
   */
  decide(now: number): SchedulerAction[];
  /**
   * Returns the learned latency of the pool for the next dispatcher; with
   * `endpoint`, it has only the learned speed of this endpoint.
   */
  exportLatency(endpoint?: string): LatencySnapshot | undefined;
  importLatency(snapshot: LatencySnapshot): void;
  /** Counts the requests that began to wait for memory since the last call. */
  takeMemoryWaits(): number;
  /** How evenly accounts were served lately. */
  summarizeShares(now: number): ShareSummary;
  /** Returns the state for dumps, without secrets. */
  describe(now: number): object;
}

/** Creates a scheduler without endpoints. */
export function createPoolScheduler(
  initial: PoolLimits,
  mechanisms: Readonly<Mechanisms> = ALL_MECHANISMS,
): PoolScheduler {
  const queues = createWaitingQueues(mechanisms);
  const latency = createLatencyModel();
  const context: ChoiceContext = {latency, limits: initial, mechanisms};
  const drainRate = createDrainRate();
  let actions: SchedulerAction[] = [];
  const counts = {granted: 0, refused: 0, yielded: 0};
  const ledger = createSlotLedger(latency, mechanisms);
  const memoryWaits = createMemoryWaits(context, queues);
  const versionWaits = createVersionWaits(queues);
  const accounts = createAccountCompetition(mechanisms);
  const batchScheduler = createBatchScheduler({
    context,
    queues,
    memoryWaits,
    versionWaits,
    estimateWork,
    grant,
    orderYields,
    getLoadReader: accounts.getLoadReader,
  });

  function estimateWork(request: ScheduledRequest): number {
    return (
      latency.estimatePrefill(request.promptTokens) +
      ANSWER_TOKEN_WORK_MS * (request.answerTokens + 1)
    );
  }

  /** Lower bound of the time from grant to end: the prompt counts as cached. */
  function estimateOwnTime(request: ScheduledRequest): number {
    return (
      latency.estimateFirstByte(0) +
      latency.estimateAnswer(request.answerTokens)
    );
  }

  function refuse(
    request: ScheduledRequest,
    reason: RefusalReason,
    retryAfter: number,
    now: number,
  ) {
    counts.refused++;
    actions.push({
      kind: 'refuse',
      requestId: request.id,
      reason,
      retryAfterMs: accounts.noteRefused(request, reason, retryAfter, now),
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
    removeParked(request.id);
    if (tracker.health.shouldProbe(now)) tracker.health.noteProbe(now);
    ledger.add(request, tracker, now);
    accounts.noteGranted(request, context.limits, now);
    counts.granted++;
    actions.push({
      kind: 'grant',
      requestId: request.id,
      endpoint: tracker.description.address,
    });
  }

  function removeParked(requestId: string): ScheduledRequest | undefined {
    return memoryWaits.remove(requestId) ?? versionWaits.remove(requestId);
  }

  function orderYields(slots: readonly HeldSlot[], now: number) {
    for (const {request} of slots) {
      ledger.findHolder(request.id)!.markYielding(request.id, now);
      counts.yielded++;
      actions.push({kind: 'yield', requestId: request.id});
    }
  }

  function refuseExpired(now: number) {
    const expired = [
      ...queues.takeExpired(now),
      ...memoryWaits.takeExpired(now),
      ...versionWaits.takeWhere(({deadline}) => deadline <= now),
    ];
    for (const request of expired) {
      refuse(request, 'deadline', MIN_RETRY_AFTER_MS, now);
    }
  }

  function isTooLate(request: ScheduledRequest, now: number): boolean {
    if (!mechanisms.admission) return false;
    return isDeadlineUnreachable(
      estimateOwnTime(request),
      request.deadline,
      now,
    );
  }

  /**
   * Grants in fair order; skips accounts whose next request must wait. `newId`
   * is the request being submitted, which is never refused as too late.
   */
  function grantOnline(
    open: readonly EndpointTracker[],
    now: number,
    newId?: string,
  ) {
    queues.moveOverdue(request => isOverdueNow(request, now), estimateWork);
    grantParked(open, now, newId);
    grantFromQueue(queues.online, open, now, newId);
    if (queues.online.count() === 0) {
      grantFromQueue(queues.overdue, open, now, newId);
    }
    if (queues.countOnline() === 0) drainRate.reset();
  }

  /** Refuses a request whose size does not fit; returns whether it did. */
  function refuseBySize(request: ScheduledRequest, now: number): boolean {
    const size = checkSize(request, context.limits.memory);
    if (size === 'fits') return false;
    const reason = size === 'too-large' ? size : 'overloaded';
    refuse(request, reason, MIN_RETRY_AFTER_MS, now);
    return true;
  }

  /** Refuses waiting requests for which the memory became too small. */
  function refuseOversized(now: number) {
    for (const request of memoryWaits.listAll()) {
      if (refuseBySize(request, now)) memoryWaits.remove(request.id);
    }
  }

  function isServed({version}: ScheduledRequest): boolean {
    return version === undefined || ledger.hasVersion(version);
  }

  /** Refuses waiting requests whose version no endpoint serves any more. */
  function refuseUnserved(now: number) {
    for (const request of versionWaits.takeWhere(each => !isServed(each))) {
      refuse(request, 'no-endpoint', MIN_RETRY_AFTER_MS, now);
    }
  }

  /** Moves a request to those that wait for memory if its version has none left. */
  function reserveMemory(
    request: ScheduledRequest,
    candidates: readonly EndpointTracker[],
    now: number,
  ) {
    if (!versionWaits.has(request.id)) return;
    if (memoryWaits.park(request, candidates, now)) {
      versionWaits.remove(request.id);
    }
  }

  /**
   * Grants online requests that waited for a version or for memory, before those in the
   * queues.
   */
  function grantParked(
    open: readonly EndpointTracker[],
    now: number,
    newId?: string,
  ) {
    const parked = [
      ...versionWaits.list('online'),
      ...memoryWaits.list('online'),
    ];
    for (const request of parked) {
      if (request.id !== newId && isTooLate(request, now)) {
        removeParked(request.id);
        refuse(request, 'deadline', MIN_RETRY_AFTER_MS, now);
        continue;
      }
      const candidates = selectCandidates(open, request);
      const tracker = chooseForOnline(candidates, request, context, now);
      if (tracker) grant(request, tracker, now);
      else reserveMemory(request, candidates, now);
    }
  }

  function grantFromQueue(
    queue: FairQueue,
    open: readonly EndpointTracker[],
    now: number,
    newId?: string,
  ) {
    const skipped = new Set<string>();
    const getLoad = accounts.getLoadReader(now);
    const slots = getLoad ? countSlots(open, context, now) : Infinity;
    for (;;) {
      const request = queue.peek(skipped, getLoad);
      if (!request) break;
      if (request.id !== newId && isTooLate(request, now)) {
        queue.remove(request.id);
        const waitMs = drainRate.estimateWait(queues.countOnline());
        refuse(request, 'deadline', waitMs, now);
        continue;
      }
      if (getLoad && accounts.isThrottled(request, slots, now)) break;
      const candidates = selectCandidates(open, request);
      const tracker = chooseForOnline(candidates, request, context, now);
      if (!tracker && memoryWaits.park(request, candidates, now)) continue;
      if (!tracker) {
        // A request that avoids endpoints or is large may wait while others can
        // start. For any other request, no endpoint has room and nothing else can.
        const mayOthersStart =
          request.avoid.length > 0 ||
          isMemoryMissing(candidates, request, context, now);
        if (!mayOthersStart || skipped.has(request.account)) break;
        skipped.add(request.account);
        continue;
      }
      grant(request, tracker, now);
      drainRate.note(now);
    }
  }

  /** Makes all decisions that are due and returns the collected actions. */
  function decideDue(now: number, newId?: string): SchedulerAction[] {
    refuseExpired(now);
    refuseOversized(now);
    refuseUnserved(now);
    const open = ledger.listOpen(now);
    memoryWaits.reserve(open, now);
    grantOnline(open, now, newId);
    memoryWaits.reserve(open, now);
    batchScheduler.preemptItems(open, now);
    orderYields(memoryWaits.selectYields(now), now);
    batchScheduler.startItems(open, now);
    const collected = actions;
    actions = [];
    return collected;
  }

  function computePosition(request: ScheduledRequest, now: number): number {
    const {account, weight, workClass} = request;
    if (!accounts.getLoadReader(now))
      return queues.online.computePosition(account, weight);
    return queues.online.computePositionBySlots(account, weight, each =>
      accounts.countHeld({account: each, workClass}),
    );
  }

  function checkOnlineAdmission(
    request: ScheduledRequest,
    now: number,
  ): boolean {
    batchScheduler.noteOnlineRequest(request, now);
    if (!mechanisms.admission) return true;
    const position = computePosition(request, now);
    const wait =
      queues.online.count() === 0 ? 0 : drainRate.estimateWait(position);
    const own = estimateOwnTime(request);
    const retryAfter =
      wait === 0 ? undefined : decideAdmission(wait, own, request, now);
    if (retryAfter === undefined) return true;
    refuse(request, 'overloaded', retryAfter, now);
    return false;
  }

  function checkAdmission(request: ScheduledRequest, now: number): boolean {
    const waiting = queues[request.workClass].count();
    if (ledger.countListed() === 0 || !isServed(request)) {
      refuse(request, 'no-endpoint', MIN_RETRY_AFTER_MS, now);
      return false;
    }
    if (refuseBySize(request, now)) return false;
    if (waiting >= MAX_WAITING) {
      refuse(request, 'overloaded', drainRate.estimateWait(waiting), now);
      return false;
    }
    if (request.workClass === 'batch') return true;
    if (request.version === undefined)
      return checkOnlineAdmission(request, now);
    // It waits behind no other request.
    batchScheduler.noteOnlineRequest(request, now);
    return true;
  }

  return {
    setEndpoints(next, now) {
      ledger.setEndpoints(next, now);
      return decideDue(now);
    },
    setLimits(next, now) {
      context.limits = next;
      return decideDue(now);
    },
    submit(request, now) {
      const isKnown =
        queues.has(request) ||
        memoryWaits.has(request.id) ||
        versionWaits.has(request.id) ||
        ledger.findHolder(request.id);
      if (isKnown) {
        return decideDue(now);
      }
      accounts.noteAsked(request, now);
      if (checkAdmission(request, now)) {
        queues[request.workClass].push(request, estimateWork(request));
        if (request.workClass === 'online') versionWaits.park(request);
      }
      return decideDue(now, request.id);
    },
    cancel(requestId, now) {
      const waiting = queues.remove(requestId);
      const request = removeParked(requestId) ?? waiting;
      if (request) accounts.noteCancelled(request, now);
      return decideDue(now);
    },
    release(requestId, outcome, now) {
      const released = ledger.release(requestId, outcome, now);
      if (released) accounts.noteReleased(released);
      return decideDue(now);
    },
    adopt(request, endpoint, now) {
      if (ledger.findHolder(request.id)) return;
      queues.remove(request.id);
      removeParked(request.id);
      ledger.adopt(request, endpoint, now);
      accounts.noteGranted(request, context.limits, now, true);
    },
    noteFirstByte(requestId, firstByteMs, now) {
      const holder = ledger.findHolder(requestId);
      holder?.noteFirstByte(requestId, firstByteMs, now);
    },
    noteLoad(endpoint, report, now) {
      const tracker = ledger.find(endpoint);
      if ('cacheUsage' in report) {
        tracker?.limit.noteReport(report, now);
        const {memory} = context.limits;
        if (memory) tracker?.memory.noteReport(report, memory);
        return undefined;
      }
      // Its waiting requests are mostly prompts that this scheduler sent in
      // advance, so they are no sign that the endpoint's limit is too high.
      const {pace} = report;
      if (pace === undefined || !mechanisms.reportedPace) return undefined;
      return tracker?.noteLoad({...report, pace}, now);
    },
    noteCacheEvent(endpoint, event, now) {
      ledger.find(endpoint)?.prefixes.noteEvent(event, now);
    },
    decide(now) {
      ledger.checkProgress(now);
      return decideDue(now);
    },
    exportLatency: endpoint => latency.exportSnapshot(endpoint),
    importLatency: snapshot => latency.importSnapshot(snapshot),
    takeMemoryWaits: memoryWaits.takeCount,
    summarizeShares: accounts.summarize,
    describe: now => ({
      limits: context.limits,
      counts: {...counts},
      waiting: queues.describe(),
      waitingForMemory: memoryWaits.describe(now),
      waitingForVersion: versionWaits.count(),
      shares: accounts.describe(now),
      latency: latency.describe(),
      onlineRate: batchScheduler.getOnlineRate(now) * 1000,
      endpoints: ledger.describe(now),
    }),
  };
}
