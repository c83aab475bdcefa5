/**
 * The prefill queue of one engine, as far as it can be told from outside:
 * engines prefill in order of arrival, so each slot's end follows from those
 * before it. First bytes that come back correct it.
 *
 * Pattern of load: long prompts among short ones, on engines that report their
 * load seconds late. Without this queue a question is sent behind a long
 * prompt that the last report did not show.
 *
 * Where holders report first bytes (they may not), a slot whose first byte is
 * overdue still stands in the queue: by half of what it is overdue, after
 * REPORT_SLACK_MS in which the report is under way.
 */
import {REPORT_SLACK_MS} from './scheduler_constants.js';
import type {WorkClass} from './scheduler_types.js';

/** One prompt sent and not known to be prefilled. */
export interface PendingPrefill {
  id: string;
  workClass: WorkClass;
  sentAt: number;
  /** When its first byte probably comes. */
  endsAt: number;
  /** How much earlier the engine is free for the next prompt. */
  overlapMs: number;
}

/**
 * What is probably still to be prefilled. What a first byte takes beside its
 * prompt's prefill (the way there and back, a step of the batch) overlaps with
 * the next prompt's; counted as work of the engine, it let one batch item in
 * each such time start on an endpoint, and slots stood empty.
 */
export interface PrefillQueue {
  /** Returns when its prefill probably ends. */
  push(
    prompt: {id: string; workClass: WorkClass},
    work: {aloneMs: number; prefillMs: number},
    now: number,
  ): number;
  /** Its first byte came, or it was stopped before. */
  remove(id: string, reason: 'first-byte' | 'stopped', now: number): void;
  /** Time until the queue is probably empty. */
  estimateBacklog(now: number): number;
  /** Whether a batch item is probably in it. */
  hasBatch(now: number): boolean;
  /** The oldest prompt whose first byte is overdue, if first bytes are known. */
  findOverdue(now: number): PendingPrefill | undefined;
}

/** Starts empty. */
export function createPrefillQueue(): PrefillQueue {
  const pending = new Map<string, PendingPrefill>();
  let hasReports = false;

  /** Without reports a prompt leaves the queue when its time has passed. */
  function removePast(now: number) {
    if (hasReports) return;
    for (const [id, {endsAt}] of pending) {
      if (endsAt > now) break;
      pending.delete(id);
    }
  }

  /** Those behind move by as much as this one came sooner or later. */
  function updateBehind(removed: PendingPrefill, now: number) {
    const shift = now - removed.endsAt;
    for (const each of pending.values()) {
      if (each.sentAt < removed.sentAt) continue;
      each.endsAt = Math.max(now, each.endsAt + shift);
    }
  }

  function estimateEnd({endsAt}: PendingPrefill, now: number): number {
    if (!hasReports) return endsAt;
    const overdue = now - endsAt - REPORT_SLACK_MS;
    return overdue > 0 ? now + overdue / 2 : endsAt;
  }

  return {
    push({id, workClass}, {aloneMs, prefillMs}, now) {
      removePast(now);
      let endsAt = now + aloneMs;
      for (const each of pending.values()) {
        endsAt = Math.max(endsAt, estimateEnd(each, now) + prefillMs);
      }
      const overlapMs = Math.max(0, aloneMs - prefillMs);
      pending.set(id, {id, workClass, sentAt: now, endsAt, overlapMs});
      return endsAt;
    },
    remove(id, reason, now) {
      const removed = pending.get(id);
      if (reason === 'first-byte') hasReports = true;
      if (!removed) return;
      pending.delete(id);
      // One that was stopped leaves at once; its end was yet to come.
      if (reason === 'first-byte' || removed.endsAt > now) {
        updateBehind(removed, now);
      }
    },
    estimateBacklog(now) {
      removePast(now);
      let endsAt = now;
      for (const each of pending.values()) {
        endsAt = Math.max(endsAt, estimateEnd(each, now) - each.overlapMs);
      }
      return endsAt - now;
    },
    hasBatch(now) {
      removePast(now);
      for (const each of pending.values()) {
        if (each.workClass === 'batch' && estimateEnd(each, now) > now) {
          return true;
        }
      }
      return false;
    },
    findOverdue(now) {
      if (!hasReports) return undefined;
      for (const each of pending.values()) {
        if (each.endsAt + REPORT_SLACK_MS < now) return each;
      }
      return undefined;
    },
  };
}
