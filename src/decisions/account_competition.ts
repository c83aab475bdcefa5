/**
 * Applies the shares of accounts in a pool scheduler: in which order accounts are
 * next, as how many slots a request counts, and when refused callers return.
 *
 * Load pattern: as in account_shares.ts and return_schedule.ts, which decide. Without
 * this module, each place of the scheduler that grants, refuses or frees would have to
 * keep both up to date.
 */
import {createAccountShares, type AccountShares} from './account_shares.js';
import {computeRetryAfter} from './admission.js';
import {countMemoryTokens} from './engine_memory.js';
import type {LoadReader} from './fair_queue.js';
import type {Mechanisms} from './mechanisms.js';
import {createReturnSchedule} from './return_schedule.js';
import type {
  PoolLimits,
  RefusalReason,
  ScheduledRequest,
} from './scheduler_types.js';

/** The accounts of one pool, as its scheduler uses them. Times are in ms. */
export interface AccountCompetition extends Pick<
  AccountShares,
  'noteAsked' | 'noteCancelled' | 'isThrottled' | 'countHeld' | 'summarize'
> {
  /** How to order accounts; undefined if they do not compete. */
  getLoadReader(now: number): LoadReader | undefined;
  /** Counts a slot; `isAdopted` if another dispatcher granted it. */
  noteGranted(
    request: ScheduledRequest,
    limits: PoolLimits,
    now: number,
    isAdopted?: boolean,
  ): void;
  noteReleased(request: ScheduledRequest): void;
  /**
   * Counts a refusal and returns the caller's retry delay; 0 for a request that can
   * never run. Callers of one account that are refused together return one by one.
   */
  noteRefused(
    request: ScheduledRequest,
    reason: RefusalReason,
    retryAfterMs: number,
    now: number,
  ): number;
  describe(now: number): object;
}

/** Creates a competition without accounts. */
export function createAccountCompetition(
  mechanisms: Readonly<Mechanisms>,
): AccountCompetition {
  const shares = createAccountShares();
  const returns = createReturnSchedule();
  /** Requests that count as more than one slot. */
  const largeSlots = new Map<string, number>();

  /** Computes as how many slots a request counts, and keeps it until its release. */
  function noteSlots(
    request: ScheduledRequest,
    {memory, maxConcurrency}: PoolLimits,
  ): number {
    if (!memory) return 1;
    const ofMemory = countMemoryTokens(request) / memory.tokens;
    const slots = Math.max(1, maxConcurrency * ofMemory);
    if (slots > 1) largeSlots.set(request.id, slots);
    return slots;
  }

  return {
    noteAsked: shares.noteAsked,
    noteCancelled: shares.noteCancelled,
    isThrottled: shares.isThrottled,
    countHeld: shares.countHeld,
    summarize: shares.summarize,
    describe: shares.describe,
    getLoadReader(now) {
      if (!mechanisms.fairShares || !mechanisms.slotShares) return undefined;
      if (!shares.isCompeting(now)) return undefined;
      return request => shares.getLoad(request, now);
    },
    noteGranted(request, limits, now, isAdopted = false) {
      const slots = noteSlots(request, limits);
      shares.noteGranted(request, now, {slots, isAdopted});
    },
    noteReleased(request) {
      shares.noteReleased(request, largeSlots.get(request.id));
      largeSlots.delete(request.id);
    },
    noteRefused(request, reason, retryAfterMs, now) {
      shares.noteRefused(request, reason, now);
      if (reason === 'too-large') return 0;
      const earliestMs = computeRetryAfter(retryAfterMs);
      const isSpread = mechanisms.returnSchedule && reason !== 'no-endpoint';
      if (!isSpread) return earliestMs;
      const intervalMs = shares.getServiceInterval(request, now);
      return Math.ceil(returns.schedule(request, earliestMs, intervalMs, now));
    },
  };
}
