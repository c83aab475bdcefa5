/**
 * A model of an engine with continuous batching. It admits requests as they
 * arrive, has no priorities, and prefills prompts in chunks, first come, first
 * served. Its step time grows with the number of running sequences and of
 * prefilled tokens. It models the engine's interface, not the hardware.
 */
import {LRUCache} from 'lru-cache';
import type {Clock} from '../common/clock.js';
import type {CacheEvent, LoadReport} from '../decisions/scheduler_types.js';
import type {EngineParameters} from './engine_parameters.js';
import type {Random} from './random.js';

/** A request as the engine receives it. */
export interface EngineRequest {
  id: string;
  promptTokens: number;
  answerTokens: number;
  prefixHashes: readonly string[];
  /** For accounting only; the engine treats all requests alike. */
  isBatch: boolean;
}

/** Receives what the engine sends. */
export interface EngineListener {
  /** `batchDelayMs`: time for which batch prefill delayed it in the engine. */
  handleFirstToken(id: string, batchDelayMs: number): void;
  handleEnd(id: string): void;
  handleReport(report: LoadReport): void;
  handleCacheEvent(event: CacheEvent): void;
}

/** A running engine model. */
export interface EngineModel {
  send(request: EngineRequest): void;
  /** Takes effect at the end of the step that is running. */
  cancel(id: string): void;
  /** Returns the number of answer tokens generated so far. */
  countTokens(id: string): number;
  /** Makes steps take `factor` times as long, from the next step on. */
  setSlowness(factor: number): void;
  /** Makes the engine silent: it accepts requests but sends nothing. */
  setSilent(silent: boolean): void;
  /** Returns the time spent in steps and the prompt tokens prefilled so far. */
  getUsage(): {busyMs: number; prefilledTokens: number};
  /** Returns the numbers of running and of waiting sequences. */
  getLoad(): {running: number; waiting: number};
}

interface Sequence {
  request: EngineRequest;
  remainingPrefill: number;
  started: boolean;
  cancelled: boolean;
  batchDelayMs: number;
  /** Step that generated the first token; 0 before. */
  firstStep: number;
}

/** Creates an idle engine with an empty cache. */
export function createEngineModel(
  parameters: EngineParameters,
  clock: Clock,
  random: Random,
  listener: EngineListener,
  /** How many times as long a step that starts now takes. */
  findPace: () => number = () => 1,
): EngineModel {
  const sequences = new Map<string, Sequence>();
  let prefills: Sequence[] = [];
  const endingAt = new Map<number, Sequence[]>();
  const cache = new LRUCache<string, true>({
    max: parameters.cacheBlocks,
    dispose: (_value, hash, reason) => {
      if (reason === 'evict') publishCacheEvent('evicted', hash);
    },
  });
  let decoding = 0;
  let kvInUse = 0;
  let step = 0;
  let stepping = false;
  let slowness = 1;
  let silent = false;
  let cacheSequence = 0;
  let stepEndsAt = 0;
  let stepBatchPrefillMs = 0;
  const usage = {busyMs: 0, prefilledTokens: 0};

  function publishCacheEvent(kind: 'stored' | 'evicted', prefixHash: string) {
    const event: CacheEvent = {sequence: cacheSequence++, kind, prefixHash};
    if (random.draw() < parameters.cacheEventLoss) return;
    clock.schedule(parameters.cacheEventLagMs, () =>
      listener.handleCacheEvent(event),
    );
  }

  function countCachedTokens(request: EngineRequest): number {
    let blocks = 0;
    for (const hash of request.prefixHashes) {
      if (!cache.get(hash)) break;
      blocks++;
    }
    const tokens = blocks * parameters.blockTokens;
    return Math.min(tokens, request.promptTokens - 1);
  }

  function computeKvSize(request: EngineRequest): number {
    return request.promptTokens + request.answerTokens;
  }

  /**
   * Starts the prefill if there is room; returns whether it has started. Order is
   * first come, first served: a sequence that does not fit blocks those behind.
   */
  function startPrefill(sequence: Sequence): boolean {
    if (sequence.started) return true;
    const started = countStarted();
    const fits =
      kvInUse + computeKvSize(sequence.request) <= parameters.kvTokens &&
      started < parameters.maxSequences;
    if (!fits && started > 0) return false;
    sequence.started = true;
    kvInUse += computeKvSize(sequence.request);
    sequence.remainingPrefill =
      sequence.request.promptTokens - countCachedTokens(sequence.request);
    return true;
  }

  function countStarted(): number {
    let started = decoding;
    for (const sequence of prefills) if (sequence.started) started++;
    return started;
  }

  function runStep() {
    prefills = prefills.filter(sequence => !sequence.cancelled);
    stepping = decoding + prefills.length > 0;
    if (!stepping) return;
    step++;
    let remainingChunk = parameters.chunkTokens;
    let batchTokens = 0;
    const done: Sequence[] = [];
    for (const sequence of prefills) {
      if (remainingChunk === 0 || !startPrefill(sequence)) break;
      const prefillTokens = Math.min(remainingChunk, sequence.remainingPrefill);
      remainingChunk -= prefillTokens;
      sequence.remainingPrefill -= prefillTokens;
      if (sequence.request.isBatch) batchTokens += prefillTokens;
      if (sequence.remainingPrefill === 0) done.push(sequence);
    }
    const prefilled = parameters.chunkTokens - remainingChunk;
    const jitter = 1 + parameters.jitter * (2 * random.draw() - 1);
    const factor = jitter * slowness * findPace();
    const duration =
      (parameters.stepBaseMs +
        parameters.stepPerSequenceMs * decoding +
        parameters.prefillPerTokenMs * prefilled) *
      factor;
    stepBatchPrefillMs = batchTokens * parameters.prefillPerTokenMs * factor;
    for (const sequence of prefills)
      sequence.batchDelayMs += stepBatchPrefillMs;
    usage.busyMs += duration;
    usage.prefilledTokens += prefilled;
    stepEndsAt = clock.now() + duration;
    clock.schedule(duration, () => finishStep(done));
  }

  function finishStep(done: readonly Sequence[]) {
    for (const sequence of done) finishPrefill(sequence);
    if (done.length > 0)
      prefills = prefills.filter(s => s.remainingPrefill > 0);
    for (const sequence of endingAt.get(step) ?? []) finishDecode(sequence);
    endingAt.delete(step);
    runStep();
  }

  function finishPrefill(sequence: Sequence) {
    if (sequence.cancelled) return;
    const {request} = sequence;
    for (const hash of request.prefixHashes) {
      if (!cache.has(hash)) publishCacheEvent('stored', hash);
      cache.set(hash, true);
    }
    sequence.firstStep = step;
    decoding++;
    const lastStep = step + request.answerTokens - 1;
    const ending = endingAt.get(lastStep);
    if (ending) ending.push(sequence);
    else endingAt.set(lastStep, [sequence]);
    if (!silent) listener.handleFirstToken(request.id, sequence.batchDelayMs);
  }

  function finishDecode(sequence: Sequence) {
    if (sequence.cancelled) return;
    removeSequence(sequence);
    decoding--;
    if (!silent) listener.handleEnd(sequence.request.id);
  }

  function removeSequence(sequence: Sequence) {
    sequences.delete(sequence.request.id);
    if (sequence.started) kvInUse -= computeKvSize(sequence.request);
  }

  function getLoad() {
    const waiting = prefills.filter(sequence => !sequence.started).length;
    return {running: countStarted(), waiting};
  }

  function publishReport() {
    const report: LoadReport = {
      at: clock.now(),
      ...getLoad(),
      cacheUsage: kvInUse / parameters.kvTokens,
    };
    if (!silent) {
      clock.schedule(parameters.reportLagMs, () =>
        listener.handleReport(report),
      );
    }
    clock.schedule(parameters.reportEveryMs, publishReport);
  }

  clock.schedule(random.draw() * parameters.reportEveryMs, publishReport);

  return {
    send(request) {
      const remainingStepMs = Math.max(0, stepEndsAt - clock.now());
      const sequence: Sequence = {
        request,
        remainingPrefill: request.promptTokens,
        started: false,
        cancelled: false,
        batchDelayMs: stepping
          ? Math.min(remainingStepMs, stepBatchPrefillMs)
          : 0,
        firstStep: 0,
      };
      sequences.set(request.id, sequence);
      prefills.push(sequence);
      if (!stepping) runStep();
    },
    cancel(id) {
      const sequence = sequences.get(id);
      if (!sequence) return;
      sequence.cancelled = true;
      if (sequence.firstStep > 0) decoding--;
      removeSequence(sequence);
    },
    countTokens(id) {
      const sequence = sequences.get(id);
      if (!sequence || sequence.firstStep === 0) return 0;
      return step - sequence.firstStep + 1;
    },
    setSlowness(factor) {
      slowness = factor;
    },
    setSilent(next) {
      silent = next;
    },
    getUsage: () => usage,
    getLoad,
  };
}
