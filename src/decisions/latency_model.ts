/**
 * Predicts how long a request takes on an endpoint of the pool, learned from
 * granted requests that ended. The time to the first byte grows with the number
 * of prompt tokens to prefill.
 *
 * Load pattern: long prompts among short ones. Without a prediction by length,
 * all requests count alike, and a short request is sent behind a long prompt
 * and waits until the prefill of that prompt is complete.
 *
 * Fixed values would fit only one engine. The learned ones follow a change
 * within a few hundred answers (REGRESSION_DECAY). They start from plausible
 * values (REGRESSION_PRIOR), so that the first answers cannot move them far.
 */
import {
  AVERAGE_GAIN,
  INITIAL_LATENCY,
  MAX_ANSWER_TIME_RATIO,
  MAX_POOL_RATIO,
  MAX_DEVIATION,
  REGRESSION_DECAY,
  REGRESSION_PRIOR,
} from './scheduler_constants.js';
import {
  createPoolPaces,
  type PoolPaces,
  type SpeedSnapshot,
} from './pool_paces.js';
import type {WorkClass} from './scheduler_types.js';

/** Prompt length around which the initial line is weighted. */
export const TYPICAL_PROMPT_TOKENS = 400;

/** A line y = base + slope * x. */
export interface Line {
  base: number;
  slope: number;
}

/** Fits a line to observations with exponentially decaying weights. */
export interface LineFit {
  note(x: number, y: number): void;
  getLine(): Line;
}

/**
 * Creates a fit that starts at `initial`, weighted around `typicalX`. Base and
 * slope never fall below zero.
 */
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
      weight *= REGRESSION_DECAY;
      sumX *= REGRESSION_DECAY;
      sumY *= REGRESSION_DECAY;
      sumXX *= REGRESSION_DECAY;
      sumXY *= REGRESSION_DECAY;
      addPoint(x, y, 1);
      const determinant = weight * sumXX - sumX * sumX;
      const slope =
        determinant > 1e-9
          ? Math.max(0, (weight * sumXY - sumX * sumY) / determinant)
          : line.slope;
      line = {slope, base: Math.max(0, (sumY - slope * sumX) / weight)};
    },
    getLine: () => line,
  };
}

/** Learned values that are handed to the next dispatcher of the pool. */
export interface LatencySnapshot {
  firstByte: Line;
  /** Time per answer token; absent before the first answer. */
  perTokenMs?: number;
  totals: Record<WorkClass, number>;
  /** Speeds of endpoints that report their pace; absent if none does. */
  speeds?: SpeedSnapshot;
}

/** The learned latency of the pool. Times are in ms. */
export interface LatencyModel {
  paces: PoolPaces;
  /** Time to the first byte on an idle engine, with `tokens` to prefill. */
  estimateFirstByte(tokens: number): number;
  /** Part of that time in which the engine is busy with the prefill. */
  estimatePrefill(tokens: number): number;
  /** Time from the first byte to the end of an answer of `tokens`. */
  estimateAnswer(tokens: number): number;
  /** Mean time from grant to release. */
  getMeanTotal(workClass: WorkClass): number;
  noteFirstByte(tokens: number, firstByteMs: number): void;
  /**
   * Records a first byte on any endpoint that took `ratio` times its
   * prediction.
   */
  noteRatio(ratio: number): void;
  /** Average ratio of actual to predicted time over the pool, at least 1. */
  getPoolRatio(): number;
  /** Records a complete answer; `answerTokens` is the estimate at admission. */
  noteAnswer(
    workClass: WorkClass,
    seen: {totalMs: number; firstByteMs: number; answerTokens: number},
  ): void;
  /** With `endpoint`, the speeds are only that of this endpoint. */
  exportSnapshot(endpoint?: string): LatencySnapshot;
  /**
   * Restarts from the values that another dispatcher learned. Without it, a
   * takeover under load starts from the values of a mid-range engine, and for
   * 1.5 s requests wait up to 0.9 s for prefills that already ended.
   */
  importSnapshot(snapshot: LatencySnapshot): void;
  describe(): object;
}

/** Creates a model that starts from INITIAL_LATENCY. */
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
  const paces = createPoolPaces();

  return {
    paces,
    estimateAnswer: tokens =>
      Math.min(
        tokens * (perTokenMs ?? 0),
        MAX_ANSWER_TIME_RATIO * totals.online,
      ),

    estimateFirstByte(tokens) {
      const {base, slope} = firstByte.getLine();
      return base + slope * tokens;
    },
    estimatePrefill: tokens => firstByte.getLine().slope * tokens,
    getMeanTotal: workClass => totals[workClass],
    noteFirstByte(tokens, firstByteMs) {
      const {base, slope} = firstByte.getLine();
      const maximum = MAX_DEVIATION * (base + slope * tokens);
      firstByte.note(tokens, Math.min(firstByteMs, maximum));
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
    exportSnapshot(endpoint) {
      const speeds = paces.exportSpeeds(endpoint);
      return {
        firstByte: firstByte.getLine(),
        perTokenMs,
        totals: {...totals},
        ...(speeds && {speeds}),
      };
    },
    importSnapshot(snapshot) {
      firstByte = createLineFit(snapshot.firstByte, TYPICAL_PROMPT_TOKENS);
      perTokenMs = snapshot.perTokenMs;
      Object.assign(totals, snapshot.totals);
      paces.importSpeeds(snapshot.speeds ?? {});
    },
    describe: () => ({
      firstByte: firstByte.getLine(),
      perTokenMs,
      poolRatio,
      totals: {...totals},
    }),
  };
}
