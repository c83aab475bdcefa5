/**
 * Tracks the state of one endpoint: which requests hold its slots, the
 * estimated length of its prefill queue, its learned limit, health and cached
 * prefixes. Endpoints report their load seconds late, so estimates are based
 * first on the requests sent to them.
 */
import {
  createConcurrencyLimit,
  type ConcurrencyLimit,
} from './concurrency_limit.js';
import type {HeldSlot} from './held_slot.js';
import {createForeignWork} from './foreign_work.js';
import {createEngineMemory, type EngineMemory} from './engine_memory.js';
import {createEndpointHealth, type EndpointHealth} from './endpoint_health.js';
import {
  createEndpointPace,
  type EndpointPace,
  type ReportResult,
} from './endpoint_pace.js';
import {createFirstByteLearning} from './first_byte_learning.js';
import type {LatencyModel} from './latency_model.js';
import type {Mechanisms} from './mechanisms.js';
import {createPrefillQueue} from './prefill_queue.js';
import {createPrefixMap, type PrefixMap} from './prefix_map.js';
import {createWarmUpState, type WarmUpState} from './warm_up.js';
import {INITIAL_BATCH_ITEMS} from './scheduler_constants.js';
import type {
  EndpointDescription,
  EndpointLoad,
  ScheduledRequest,
  SchedulerOutcome,
  WorkClass,
} from './scheduler_types.js';

export type {HeldSlot} from './held_slot.js';

/** One endpoint of a pool. */
export interface EndpointTracker {
  description: EndpointDescription;
  /**
   * False once it left the pool: running requests finish, no new ones start.
   */
  isListed: boolean;
  health: EndpointHealth;
  warmUp: WarmUpState;
  limit: ConcurrencyLimit;
  prefixes: PrefixMap;
  pace: EndpointPace;
  memory: EngineMemory;
  countRunning(): number;
  countByClass(workClass: WorkClass): number;
  /**
   * Counts the items ordered to yield after `since` that still hold their
   * slots.
   */
  countYielding(since: number): number;
  /**
   * Factor on the pool's prediction for an idle endpoint: speed and pace where
   * the endpoint reports its pace, and its slowness, at least 1, elsewhere.
   */
  estimateFactor(now: number): number;
  /** Estimated time until its prefill queue is empty. */
  estimateBacklog(now: number): number;
  /** Estimated prompt tokens of a request that are not cached there. */
  estimateUncached(request: ScheduledRequest, now: number): number;
  /** Running batch items that were not ordered to yield. */
  listYieldable(): HeldSlot[];
  /** Whether the number of its answers so far allows one more batch item. */
  allowsBatch(): boolean;
  /** Whether a batch item is estimated to be in prefill. */
  hasBatchPrefill(now: number): boolean;
  addSlot(request: ScheduledRequest, now: number): HeldSlot;
  /** Counts a slot that another dispatcher granted; its prefill is unknown. */
  adoptSlot(request: ScheduledRequest, now: number): void;
  markYielding(requestId: string, now: number): void;
  /** Frees the slot of a request and returns the request. */
  releaseSlot(
    requestId: string,
    outcome: SchedulerOutcome,
    now: number,
  ): ScheduledRequest | undefined;
  /** Records the first byte of a request's answer. */
  noteFirstByte(requestId: string, firstByteMs: number, now: number): void;
  /** Records a load with a pace, before the first byte of its response. */
  noteLoad(load: EndpointLoad & {pace: number}, now: number): ReportResult;
  checkProgress(now: number): void;
  describe(now: number): object;
}

/** Creates a tracker for an idle and healthy endpoint. */
export function createEndpointTracker(
  description: EndpointDescription,
  latency: LatencyModel,
  mechanisms: Readonly<Mechanisms>,
  createdAt: number,
): EndpointTracker {
  const slots = new Map<string, HeldSlot>();
  const counts: Record<WorkClass, number> = {online: 0, batch: 0};
  const health = createEndpointHealth(mechanisms.failureShares);
  const warmUp = createWarmUpState(createdAt);
  const limit = createConcurrencyLimit();
  const prefixes = createPrefixMap();
  const pace = createEndpointPace(description.address, latency.paces);
  const foreign = createForeignWork(latency);
  const learning = createFirstByteLearning({
    latency,
    mechanisms,
    health,
    limit,
    pace,
  });
  let hasFreshLoad = false;
  const memory = createEngineMemory(createdAt);
  let yielding = 0;
  const prefill = createPrefillQueue();
  let busySince = 0;
  let answers = 0;

  function putSlot(slot: HeldSlot) {
    if (slots.size === 0) busySince = slot.grantedAt;
    slots.set(slot.request.id, slot);
    counts[slot.request.workClass]++;
  }

  function estimateUncached(request: ScheduledRequest, now: number): number {
    if (!mechanisms.prefixAffinity) return request.promptTokens;
    const share = prefixes.estimateCachedShare(request.prefixHashes, now);
    return request.promptTokens * (1 - share);
  }

  function estimateBacklog(now: number): number {
    return prefill.estimateBacklog(now) + foreign.estimateBacklog(now);
  }

  function updateFromAnswer(slot: HeldSlot, outcome: SchedulerOutcome) {
    const {firstByteMs, totalMs, kind} = outcome;
    if (kind !== 'answered') return;
    answers++;
    if (firstByteMs === undefined || totalMs === undefined) return;
    const {workClass, answerTokens} = slot.request;
    latency.noteAnswer(workClass, {totalMs, firstByteMs, answerTokens});
  }

  function describeRunning(now: number): {
    since: number;
    expectedGapMs: number;
  } {
    const rate =
      counts.online / latency.getMeanTotal('online') +
      counts.batch / latency.getMeanTotal('batch');
    // Requests granted together end together, so the first answer is due one
    // mean total time after the endpoint became busy.
    const slowness = Math.max(
      1,
      health.getSlowness(),
      learning.estimateFactor(now),
    );
    const meanTotal = slots.size / rate;
    return {
      since: busySince + slowness * meanTotal,
      expectedGapMs: slowness / rate,
    };
  }

  return {
    description,
    isListed: true,
    health,
    warmUp,
    limit,
    prefixes,
    pace,
    memory,
    countRunning: () => slots.size,
    countByClass: workClass => counts[workClass],
    countYielding(since) {
      if (yielding === 0) return 0;
      return [...slots.values()].filter(
        ({yieldedAt}) => yieldedAt !== undefined && yieldedAt > since,
      ).length;
    },
    estimateFactor: learning.estimateFactor,
    estimateBacklog,
    estimateUncached,
    allowsBatch: () => counts.batch < INITIAL_BATCH_ITEMS + answers,
    listYieldable: () =>
      [...slots.values()].filter(
        ({request, yieldedAt}) =>
          request.workClass === 'batch' && yieldedAt === undefined,
      ),
    hasBatchPrefill: prefill.hasBatch,
    addSlot(request, now) {
      const uncachedTokens = estimateUncached(request, now);
      const backlogMs = estimateBacklog(now);
      const factor = learning.estimateFactor(now);
      const prefillEndsAt = prefill.push(
        request,
        {
          idleFirstByteMs: latency.estimateFirstByte(uncachedTokens) * factor,
          prefillMs: latency.estimatePrefill(uncachedTokens) * factor,
        },
        now,
      );
      const slot: HeldSlot = {
        request,
        grantedAt: now,
        prefillEndsAt,
        uncachedTokens,
        backlogMs,
        predictedFirstByteMs: prefillEndsAt - now,
        factor,
        pace: learning.findPace(now),
        running: slots.size,
        hasFirstByte: false,
        wasCold: warmUp.isKnownCold(now),
      };
      putSlot(slot);
      memory.add(request, false, now);
      warmUp.noteSent(now);
      prefixes.noteSent(request.prefixHashes, now);
      return slot;
    },
    adoptSlot(request, now) {
      answers++;
      memory.add(request, true, now);
      putSlot({
        request,
        grantedAt: now,
        prefillEndsAt: now,
        uncachedTokens: 0,
        backlogMs: 1,
        predictedFirstByteMs: Infinity,
        factor: 1,
        running: slots.size,
        hasFirstByte: false,
        wasCold: false,
      });
    },
    markYielding(requestId, now) {
      const slot = slots.get(requestId);
      if (!slot || slot.yieldedAt !== undefined) return;
      slot.yieldedAt = now;
      yielding++;
      memory.markYielding(requestId, now);
      // It leaves the engine before the prefill of any request sent from now
      // on.
      if (!slot.hasFirstByte) prefill.remove(requestId, 'stopped', now);
    },
    releaseSlot(requestId, outcome, now) {
      const slot = slots.get(requestId);
      if (!slot) return undefined;
      slots.delete(requestId);
      counts[slot.request.workClass]--;
      if (slot.yieldedAt !== undefined) yielding--;
      prefill.remove(requestId, 'stopped', now);
      const {firstByteMs, kind} = outcome;
      memory.release(requestId, outcome, now);
      if (firstByteMs !== undefined) learning.note(slot, firstByteMs, now);
      updateFromAnswer(slot, outcome);
      const wasEjected = health.getState() === 'ejected';
      health.noteOutcome(kind, now);
      const isRecovery = wasEjected && health.getState() === 'healthy';
      warmUp.noteOutcome(kind, isRecovery, now);
      return slot.request;
    },
    noteFirstByte(requestId, firstByteMs, now) {
      const slot = slots.get(requestId);
      if (!hasFreshLoad) pace.noteMissing();
      hasFreshLoad = false;
      if (!slot) return;
      prefill.remove(requestId, 'first-byte', now);
      learning.note(slot, firstByteMs, now);
    },
    noteLoad(load, now) {
      hasFreshLoad = true;
      const result = pace.noteReport(load.pace, now);
      let waitingHere = 0;
      for (const slot of slots.values()) if (!slot.hasFirstByte) waitingHere++;
      foreign.noteWaiting(Math.max(0, load.waiting - waitingHere), now);
      return result;
    },
    checkProgress(now) {
      health.checkProgress(
        slots.size > 0 ? describeRunning(now) : undefined,
        now,
      );
      const overdue = prefill.findOverdue(now);
      if (!overdue) return;
      const slot = slots.get(overdue.id);
      if (slot)
        health.checkFirstByte(
          now - slot.grantedAt,
          slot.predictedFirstByteMs,
          now,
        );
    },
    describe: now => ({
      ...description,
      health: health.getState(),
      slowness: health.getSlowness(),
      limit: limit.get(Infinity),
      online: counts.online,
      batch: counts.batch,
      yielding,
      backlogMs: estimateBacklog(now),
      ...pace.describe(now),
      prefixes: prefixes.count(),
      tokens: memory.countHeld(),
    }),
  };
}
