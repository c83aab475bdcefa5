/**
 * Learns how many requests one endpoint runs at once, at most the limit of the
 * service document.
 *
 * Load pattern: the memory of an endpoint holds fewer sequences than the
 * document allows, because prompts grew or another process took memory. Without
 * a learned limit, the excess queues inside the engine in order of arrival. An
 * online request then waits behind batch work that the scheduler cannot
 * reorder.
 *
 * The limit is lowered after MIN_QUEUED_SIGNS consecutive signs of queueing,
 * since one long prompt or one short peak proves nothing. A sign is a first
 * byte much later than predicted (by QUEUED_RATIO, and by QUEUED_EXCESS_MS so
 * that noise on short prompts does not count), or a report of requests that
 * wait inside. It is lowered at most once in LIMIT_COOLDOWN_MS, because
 * requests sent before the decrease still return late.
 *
 * First bytes on time while at least half the limit runs raise the limit, by
 * one for each limit's worth of them. Requiring a full endpoint would never
 * raise it, since batch work leaves slots free: in the simulation with slow
 * prefill, limits fell to 4 while the model was still learning and stayed
 * there, and batch throughput was 0.15 of its bound.
 */
import {
  LIMIT_COOLDOWN_MS,
  LIMIT_DECREASE,
  MIN_LIMIT,
  QUEUED_EXCESS_MS,
  MIN_QUEUED_SIGNS,
  QUEUED_RATIO,
} from './scheduler_constants.js';
import type {LoadReport} from './scheduler_types.js';

/** The learned limit of one endpoint. */
export interface ConcurrencyLimit {
  /** Returns the limit as an integer from 1 to `maximum`. */
  get(maximum: number): number;
  /** Records a first byte; `running` requests ran there at its grant. */
  noteFirstByte(
    seen: {firstByteMs: number; predictedMs: number; running: number},
    now: number,
  ): void;
  noteReport(report: LoadReport, now: number): void;
}

/** Creates a limit that starts at the document's. */
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
      if (queuedAnswers >= MIN_QUEUED_SIGNS) {
        updateLimit(running * LIMIT_DECREASE, now);
      } else if (!isQueued && running >= limit / 2) limit += 1 / limit;
    },
    noteReport({running, waiting}, now) {
      queuedReports = waiting > 1 ? queuedReports + 1 : 0;
      if (queuedReports >= MIN_QUEUED_SIGNS) updateLimit(running, now);
    },
  };
}
