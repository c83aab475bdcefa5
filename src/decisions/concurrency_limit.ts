/**
 * How many requests one endpoint runs at once, learned below the document's
 * limit.
 *
 * Pattern of load: an endpoint whose memory holds fewer sequences than the
 * document allows, because prompts grew or a neighbour took memory. The rest
 * queues inside the engine, first come first served: an online question then
 * stands behind batch work that nobody can reorder.
 *
 * A first byte far later than predicted (QUEUED_RATIO, and QUEUED_EXCESS_MS so
 * that noise on short prompts does not count), or a report of requests waiting
 * inside, lowers the limit when it is seen QUEUED_IN_A_ROW times: one long
 * prompt or one crowded moment is no evidence. Not more than once in
 * LIMIT_COOLDOWN_MS: requests sent before it still come back late.
 *
 * Answers on time while at least half the limit runs raise it by one for each
 * limit's worth of them. Asking for a full endpoint would never raise it, since
 * batch work leaves slots free: in the play with slow prefill, limits fell to 4
 * while the model still learned, stayed there, and batch throughput was 0.15 of
 * the bound.
 */
import {
  LIMIT_COOLDOWN_MS,
  LIMIT_DECREASE,
  MIN_LIMIT,
  QUEUED_EXCESS_MS,
  QUEUED_IN_A_ROW,
  QUEUED_RATIO,
} from './scheduler_constants.js';
import type {LoadReport} from './scheduler_types.js';

/** The learned limit of one endpoint. */
export interface ConcurrencyLimit {
  /** Whole requests, never above `maximum`. */
  get(maximum: number): number;
  /** A first byte came; `running` is how many ran when it was granted. */
  noteFirstByte(
    seen: {firstByteMs: number; predictedMs: number; running: number},
    now: number,
  ): void;
  noteReport(report: LoadReport, now: number): void;
}

/** Starts at the document's limit. */
export function createConcurrencyLimit(): ConcurrencyLimit {
  let limit = Infinity;
  let decreasedAt = -Infinity;
  let queuedAnswers = 0;
  let queuedReports = 0;

  function updateLimit(to: number, now: number) {
    if (now - decreasedAt < LIMIT_COOLDOWN_MS) return;
    decreasedAt = now;
    limit = Math.max(MIN_LIMIT, Math.min(limit, to));
  }

  return {
    get: maximum => Math.max(1, Math.min(maximum, Math.floor(limit))),
    noteFirstByte({firstByteMs, predictedMs, running}, now) {
      const isQueued =
        firstByteMs > QUEUED_RATIO * predictedMs &&
        firstByteMs > predictedMs + QUEUED_EXCESS_MS;
      queuedAnswers = isQueued ? queuedAnswers + 1 : 0;
      if (queuedAnswers >= QUEUED_IN_A_ROW) {
        updateLimit(running * LIMIT_DECREASE, now);
      } else if (!isQueued && running >= limit / 2) limit += 1 / limit;
    },
    noteReport({running, waiting}, now) {
      queuedReports = waiting > 1 ? queuedReports + 1 : 0;
      if (queuedReports >= QUEUED_IN_A_ROW) updateLimit(running, now);
    },
  };
}
