/**
 * What a request will take on an endpoint of the pool, learned from how
 * granted requests ended. Time to the first byte grows with the prompt tokens
 * to prefill.
 *
 * Pattern of load: long prompts among short ones. Counting requests treats
 * them alike, and a short question behind a long prompt waits for all of it.
 * Fixed figures would fit one engine only; these follow within a few hundred
 * answers (REGRESSION_MEMORY), and begin from plausible ones
 * (REGRESSION_PRIOR) so that the first answers cannot swing them.
 */
import {
  AVERAGE_GAIN,
  INITIAL_LATENCY,
  LONGEST_ANSWER_MEANS,
  MAX_POOL_RATIO,
  MAX_SURPRISE,
  REGRESSION_MEMORY,
  REGRESSION_PRIOR,
} from './scheduler_constants.js';
import type {WorkClass} from './scheduler_types.js';

/** Around which initial figures are believed. */
const TYPICAL_PROMPT_TOKENS = 400;

/** A line y = base + slope * x. */
export interface Line {
  base: number;
  slope: number;
}

/** Fits a line to observations, older ones counting less and less. */
export interface LineFit {
  note(x: number, y: number): void;
  getLine(): Line;
}

/** Begins at `initial`, believed around `typicalX`; never below zero. */
export function createLineFit(initial: Line, typicalX: number): LineFit {
  let weight = 0;
  let sumX = 0;
  let sumY = 0;
  let sumXX = 0;
  let sumXY = 0;
  let line = initial;

  function addPoint(x: number, y: number, share: number) {
    weight += share;
    sumX += share * x;
    sumY += share * y;
    sumXX += share * x * x;
    sumXY += share * x * y;
  }

  for (const x of [0, typicalX, 2 * typicalX]) {
    addPoint(x, initial.base + initial.slope * x, REGRESSION_PRIOR / 3);
  }

  return {
    note(x, y) {
      weight *= REGRESSION_MEMORY;
      sumX *= REGRESSION_MEMORY;
      sumY *= REGRESSION_MEMORY;
      sumXX *= REGRESSION_MEMORY;
      sumXY *= REGRESSION_MEMORY;
      addPoint(x, y, 1);
      const spread = weight * sumXX - sumX * sumX;
      const slope =
        spread > 1e-9
          ? Math.max(0, (weight * sumXY - sumX * sumY) / spread)
          : line.slope;
      line = {slope, base: Math.max(0, (sumY - slope * sumX) / weight)};
    },
    getLine: () => line,
  };
}

/** What a model has learned, for the next dispatcher of the pool. */
export interface LatencySnapshot {
  firstByte: Line;
  /** Per token of an answer, in ms; absent before any was seen. */
  perTokenMs?: number;
  totals: Record<WorkClass, number>;
}

/** The pool's latency as learned so far. Times in ms. */
export interface LatencyModel {
  /** First byte of a prompt with `tokens` to prefill on an idle engine. */
  estimateFirstByte(tokens: number): number;
  /** Time the engine is busy with that prefill alone. */
  estimatePrefill(tokens: number): number;
  /** From the first byte to the end of an answer of about `tokens`. */
  estimateAnswer(tokens: number): number;
  /** Mean time from grant to release. */
  getMeanTotal(workClass: WorkClass): number;
  noteFirstByte(tokens: number, firstByteMs: number): void;
  /** A first byte came `ratio` times later than predicted, anywhere. */
  noteRatio(ratio: number): void;
  /** How far predictions are short over the whole pool; 1 when they fit. */
  getPoolRatio(): number;
  /** An answer came whole; `answerTokens` as its caller had estimated. */
  noteAnswer(
    workClass: WorkClass,
    seen: {totalMs: number; firstByteMs: number; answerTokens: number},
  ): void;
  exportSnapshot(): LatencySnapshot;
  /**
   * Begins anew at what another dispatcher had learned. Without it a takeover
   * in a busy moment starts from a mid-range engine's figures, and requests
   * wait for prefill that was over long ago (up to 0.9 s, for 1.5 s).
   */
  importSnapshot(snapshot: LatencySnapshot): void;
  describe(): object;
}

/** Begins with INITIAL_LATENCY. */
export function createLatencyModel(): LatencyModel {
  let firstByte = createLineFit(
    {
      base: INITIAL_LATENCY.firstByteBaseMs,
      slope: INITIAL_LATENCY.prefillPerTokenMs,
    },
    TYPICAL_PROMPT_TOKENS,
  );
  const totals: Record<WorkClass, number> = {
    online: INITIAL_LATENCY.onlineTotalMs,
    batch: INITIAL_LATENCY.batchTotalMs,
  };

  let perTokenMs: number | undefined;
  let poolRatio = 1;

  return {
    estimateAnswer: tokens =>
      Math.min(
        tokens * (perTokenMs ?? 0),
        LONGEST_ANSWER_MEANS * totals.online,
      ),

    estimateFirstByte(tokens) {
      const {base, slope} = firstByte.getLine();
      return base + slope * tokens;
    },
    estimatePrefill: tokens => firstByte.getLine().slope * tokens,
    getMeanTotal: workClass => totals[workClass],
    noteFirstByte(tokens, firstByteMs) {
      const {base, slope} = firstByte.getLine();
      const most = MAX_SURPRISE * (base + slope * tokens);
      firstByte.note(tokens, Math.min(firstByteMs, most));
    },
    noteRatio(ratio) {
      const bounded = Math.min(MAX_POOL_RATIO, ratio);
      poolRatio += AVERAGE_GAIN * (bounded - poolRatio);
    },
    getPoolRatio: () => Math.max(1, poolRatio),
    noteAnswer(workClass, {totalMs, firstByteMs, answerTokens}) {
      totals[workClass] += AVERAGE_GAIN * (totalMs - totals[workClass]);
      if (workClass === 'batch' || answerTokens === 0) return;
      const seen = (totalMs - firstByteMs) / answerTokens;
      perTokenMs =
        (perTokenMs ?? seen) + AVERAGE_GAIN * (seen - (perTokenMs ?? seen));
    },
    exportSnapshot: () => ({
      firstByte: firstByte.getLine(),
      perTokenMs,
      totals: {...totals},
    }),
    importSnapshot(snapshot) {
      firstByte = createLineFit(snapshot.firstByte, TYPICAL_PROMPT_TOKENS);
      perTokenMs = snapshot.perTokenMs;
      Object.assign(totals, snapshot.totals);
    },
    describe: () => ({
      firstByte: firstByte.getLine(),
      perTokenMs,
      poolRatio,
      totals: {...totals},
    }),
  };
}
