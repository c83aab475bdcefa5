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
 * inside, lowers the limit; answers on time at the limit raise it by one for
 * each limit's worth of them. One decrease in LIMIT_COOLDOWN_MS: requests sent
 * before it still come back late.
 */
import {
  LIMIT_COOLDOWN_MS,
  LIMIT_DECREASE,
  MIN_LIMIT,
  QUEUED_EXCESS_MS,
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
      if (isQueued) updateLimit(running * LIMIT_DECREASE, now);
      else if (running >= limit - 1) limit += 1 / limit;
    },
    noteReport({running, waiting}, now) {
      if (waiting > 1) updateLimit(running, now);
    },
  };
}
