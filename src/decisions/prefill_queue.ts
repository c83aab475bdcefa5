/**
 * Estimates the prefill queue of one engine from outside. Engines prefill in
 * order of arrival, so the end of each prefill follows from those before it.
 * Reported first bytes correct the estimate.
 *
 * Load pattern: long prompts among short ones, on engines that report their
 * load seconds late. Without this estimate, a request is sent behind a long
 * prompt that the last report did not show.
 *
 * Holders of slots may report first bytes. If they do, a prompt whose first
 * byte is overdue stays in the queue: its estimated end moves to half of the
 * overdue time from now. The first REPORT_SLACK_MS do not count as overdue,
 * since the report may be on its way.
 */
import {REPORT_SLACK_MS} from './scheduler_constants.js';
import type {WorkClass} from './scheduler_types.js';

/** A prompt that was sent and is not known to be prefilled. */
export interface PendingPrefill {
  id: string;
  workClass: WorkClass;
  sentAt: number;
  /** Estimated time of its first byte. */
  endsAt: number;
  /**
   * Time before the first byte at which the engine is free for the next prompt.
   */
  overlapMs: number;
}

/**
 * The prompts that are probably not prefilled yet. The time to a first byte
 * also contains a network round trip and a batch step, which overlap with the
 * next prompt's prefill. When this part was counted as engine work, an endpoint
 * started only one batch item in each such period, and slots stayed empty.
 */
export interface PrefillQueue {
  /** Adds a prompt and returns the estimated time of its first byte. */
  push(
    prompt: {id: string; workClass: WorkClass},
    work: {idleFirstByteMs: number; prefillMs: number},
    now: number,
  ): number;
  /** Removes a prompt after its first byte, or because it was stopped. */
  remove(id: string, reason: 'first-byte' | 'stopped', now: number): void;
  /** Estimated time until the queue is empty. */
  estimateBacklog(now: number): number;
  /** Whether a batch item is estimated to be in the queue. */
  hasBatch(now: number): boolean;
  /**
   * Returns the oldest prompt with an overdue first byte, if they are reported.
   */
  findOverdue(now: number): PendingPrefill | undefined;
}

/** Creates an empty queue. */
export function createPrefillQueue(): PrefillQueue {
  const pending = new Map<string, PendingPrefill>();
  let hasFirstByteReports = false;

  /** Without reports, a prompt leaves the queue at its estimated end. */
  function removeFinished(now: number) {
    if (hasFirstByteReports) return;
    for (const [id, {endsAt}] of pending) {
      if (endsAt > now) break;
      pending.delete(id);
    }
  }

  /**
   * Shifts the prompts behind by the deviation of this one from its estimate.
   */
  function updateFollowing(removed: PendingPrefill, now: number) {
    const shift = now - removed.endsAt;
    for (const each of pending.values()) {
      if (each.sentAt < removed.sentAt) continue;
      each.endsAt = Math.max(now, each.endsAt + shift);
    }
  }

  function estimateEnd({endsAt}: PendingPrefill, now: number): number {
    if (!hasFirstByteReports) return endsAt;
    const overdue = now - endsAt - REPORT_SLACK_MS;
    return overdue > 0 ? now + overdue / 2 : endsAt;
  }

  return {
    push({id, workClass}, {idleFirstByteMs, prefillMs}, now) {
      removeFinished(now);
      let endsAt = now + idleFirstByteMs;
      for (const each of pending.values()) {
        endsAt = Math.max(endsAt, estimateEnd(each, now) + prefillMs);
      }
      const overlapMs = Math.max(0, idleFirstByteMs - prefillMs);
      pending.set(id, {id, workClass, sentAt: now, endsAt, overlapMs});
      return endsAt;
    },
    remove(id, reason, now) {
      const removed = pending.get(id);
      if (reason === 'first-byte') hasFirstByteReports = true;
      if (!removed) return;
      pending.delete(id);
      // A stopped prompt frees the engine early only if its end was still
      // ahead.
      if (reason === 'first-byte' || removed.endsAt > now) {
        updateFollowing(removed, now);
      }
    },
    estimateBacklog(now) {
      removeFinished(now);
      let endsAt = now;
      for (const each of pending.values()) {
        endsAt = Math.max(endsAt, estimateEnd(each, now) - each.overlapMs);
      }
      return endsAt - now;
    },
    hasBatch(now) {
      removeFinished(now);
      for (const each of pending.values()) {
        if (each.workClass === 'batch' && estimateEnd(each, now) > now) {
          return true;
        }
      }
      return false;
    },
    findOverdue(now) {
      if (!hasFirstByteReports) return undefined;
      for (const each of pending.values()) {
        if (each.endsAt + REPORT_SLACK_MS < now) return each;
      }
      return undefined;
    },
  };
}
