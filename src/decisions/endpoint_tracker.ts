/**
 * What is known of one endpoint: which requests hold its slots, how long its
 * prefill queue probably is, its learned limit, health and cached prefixes.
 * Reports of the endpoint lag by seconds, so what was sent counts first.
 */
import {
  createConcurrencyLimit,
  type ConcurrencyLimit,
} from './concurrency_limit.js';
import {createEndpointHealth, type EndpointHealth} from './endpoint_health.js';
import type {LatencyModel} from './latency_model.js';
import type {Mechanisms} from './mechanisms.js';
import {createPrefixMap, type PrefixMap} from './prefix_map.js';
import type {
  EndpointDescription,
  ScheduledRequest,
  SchedulerOutcome,
  WorkClass,
} from './scheduler_types.js';

/** A request that holds a slot. */
export interface HeldSlot {
  request: ScheduledRequest;
  grantedAt: number;
  /** When its prefill probably ends. */
  prefillEndsAt: number;
  /** Prompt tokens that were probably not cached. */
  uncachedTokens: number;
  /** Time it probably stood behind other prefills. */
  backlogMs: number;
  predictedFirstByteMs: number;
  /** Requests that ran beside it when it was granted. */
  running: number;
  isYielding: boolean;
}

/** One endpoint of a pool. */
export interface EndpointTracker {
  description: EndpointDescription;
  /** False once it leaves: it keeps what runs and gets nothing new. */
  isListed: boolean;
  health: EndpointHealth;
  limit: ConcurrencyLimit;
  prefixes: PrefixMap;
  countRunning(): number;
  countOf(workClass: WorkClass): number;
  /** Batch items told to make way that still hold their slots. */
  countYielding(): number;
  /** Time until its prefill queue is probably empty. */
  estimateBacklog(now: number): number;
  /** Prompt tokens of a request that are probably not cached there. */
  estimateUncached(request: ScheduledRequest, now: number): number;
  /** Batch items it runs that were not told to make way, youngest first. */
  listYieldable(): HeldSlot[];
  /** How many those are. */
  countYieldable(): number;
  /** Whether a batch item is probably in prefill. */
  hasBatchPrefill(now: number): boolean;
  addSlot(request: ScheduledRequest, now: number): HeldSlot;
  /** Counts a slot granted elsewhere; nothing is known of its prefill. */
  adoptSlot(request: ScheduledRequest, now: number): void;
  markYielding(requestId: string): void;
  releaseSlot(requestId: string, outcome: SchedulerOutcome, now: number): void;
  checkProgress(now: number): void;
  describe(now: number): object;
}

/** Starts idle and healthy. */
export function createEndpointTracker(
  description: EndpointDescription,
  latency: LatencyModel,
  mechanisms: Readonly<Mechanisms>,
): EndpointTracker {
  const slots = new Map<string, HeldSlot>();
  const counts: Record<WorkClass, number> = {online: 0, batch: 0};
  const health = createEndpointHealth();
  const limit = createConcurrencyLimit();
  const prefixes = createPrefixMap();
  let yielding = 0;
  let prefillEndsAt = 0;
  let batchPrefillEndsAt = 0;
  let busySince = 0;

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

  /** Learns only from what stood behind nothing and was not disturbed. */
  function updateLatency(slot: HeldSlot, outcome: SchedulerOutcome) {
    const {firstByteMs, totalMs} = outcome;
    if (firstByteMs === undefined || health.getSlowness() > 1.5) return;
    if (slot.backlogMs === 0) {
      latency.noteFirstByte(slot.uncachedTokens, firstByteMs);
    }
    if (totalMs === undefined || outcome.kind !== 'answered') return;
    const {workClass, answerTokens} = slot.request;
    latency.noteAnswer(workClass, {totalMs, firstByteMs, answerTokens});
  }

  /** Slots released before the prefill was done leave no queue behind them. */
  function updateBacklog(now: number) {
    prefillEndsAt = now;
    batchPrefillEndsAt = now;
    for (const slot of slots.values()) {
      if (slot.isYielding) continue;
      prefillEndsAt = Math.max(prefillEndsAt, slot.prefillEndsAt);
      if (slot.request.workClass !== 'batch') continue;
      batchPrefillEndsAt = Math.max(batchPrefillEndsAt, slot.prefillEndsAt);
    }
  }

  function describeRunning(): {since: number; expectedGapMs: number} {
    const rate =
      counts.online / latency.getMeanTotal('online') +
      counts.batch / latency.getMeanTotal('batch');
    // A batch of requests granted together ends together: the first answer is
    // due a mean total after the endpoint became busy.
    const slowness = Math.max(1, health.getSlowness());
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
    limit,
    prefixes,
    countRunning: () => slots.size,
    countOf: workClass => counts[workClass],
    countYielding: () => yielding,
    estimateBacklog: now => Math.max(0, prefillEndsAt - now),
    estimateUncached,
    countYieldable: () => counts.batch - yielding,
    listYieldable: () =>
      [...slots.values()]
        .filter(slot => slot.request.workClass === 'batch' && !slot.isYielding)
        .reverse(),
    hasBatchPrefill: now => batchPrefillEndsAt > now,
    addSlot(request, now) {
      const uncachedTokens = estimateUncached(request, now);
      const backlogMs = Math.max(0, prefillEndsAt - now);
      const slowness = Math.max(1, health.getSlowness());
      const alone = latency.estimateFirstByte(uncachedTokens) * slowness;
      const prefill = latency.estimatePrefill(uncachedTokens) * slowness;
      prefillEndsAt = Math.max(prefillEndsAt + prefill, now + alone);
      if (request.workClass === 'batch') batchPrefillEndsAt = prefillEndsAt;
      const slot: HeldSlot = {
        request,
        grantedAt: now,
        prefillEndsAt,
        uncachedTokens,
        backlogMs,
        predictedFirstByteMs: prefillEndsAt - now,
        running: slots.size,
        isYielding: false,
      };
      putSlot(slot);
      prefixes.noteSent(request.prefixHashes, now);
      return slot;
    },
    adoptSlot(request, now) {
      putSlot({
        request,
        grantedAt: now,
        prefillEndsAt: now,
        uncachedTokens: 0,
        backlogMs: 1,
        predictedFirstByteMs: Infinity,
        running: slots.size,
        isYielding: false,
      });
    },
    markYielding(requestId) {
      const slot = slots.get(requestId);
      if (!slot || slot.isYielding) return;
      slot.isYielding = true;
      yielding++;
    },
    releaseSlot(requestId, outcome, now) {
      const slot = slots.get(requestId);
      if (!slot) return;
      slots.delete(requestId);
      counts[slot.request.workClass]--;
      if (slot.isYielding) yielding--;
      const predictedMs = slot.predictedFirstByteMs;
      const {firstByteMs} = outcome;
      const isKnown = firstByteMs !== undefined && Number.isFinite(predictedMs);
      if (isKnown) {
        limit.noteFirstByte(
          {firstByteMs, predictedMs, running: slot.running},
          now,
        );
        updateLatency(slot, outcome);
      }
      const ratio = isKnown
        ? firstByteMs / slot.predictedFirstByteMs
        : undefined;
      health.noteOutcome(outcome.kind, ratio, now);
      if (slot.prefillEndsAt > now) updateBacklog(now);
    },
    checkProgress(now) {
      health.checkProgress(slots.size > 0 ? describeRunning() : undefined, now);
    },
    describe: now => ({
      ...description,
      health: health.getState(),
      slowness: health.getSlowness(),
      online: counts.online,
      batch: counts.batch,
      yielding,
      backlogMs: Math.max(0, prefillEndsAt - now),
      prefixes: prefixes.count(),
    }),
  };
}
