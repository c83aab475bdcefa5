/**
 * Counts what callers get in a play: only of requests that arrive after the
 * warm-up, and of those inside their account's rate what became of them.
 */
import type {EngineModel} from './engine_model.js';
import {
  createPlayResult,
  getPoint,
  recordFirstToken,
  type AccountResult,
  type PlayResult,
} from './play_result.js';
import type {Play} from './play_schema.js';
import type {PlayRequest} from './traffic.js';

/** Why a request was refused. */
type RefusalReason = Parameters<PlayResult['refused']['get']>[0];

/** The counts of one play. */
export interface PlayScore {
  result: PlayResult;
  noteArrival(request: PlayRequest, isInside: boolean): void;
  noteRefusal(request: PlayRequest, reason: RefusalReason, now: number): void;
  noteFirstToken(
    request: PlayRequest,
    firstTokenMs: number,
    heldMs: number,
  ): void;
  noteAnswer(request: PlayRequest): void;
  /** Not answered by its deadline. */
  noteLate(request: PlayRequest): void;
  noteFailure(request: PlayRequest): void;
  /** An item of a bundle is done. */
  noteItem(now: number): void;
  /** An item made way, with what it had brought. */
  noteYield(tokens: number): void;
  /** Adds the engines' work so far, or takes it off with `sign` -1. */
  noteUsage(engines: readonly EngineModel[], sign: 1 | -1): void;
  /** Neither answered nor late when the play ends: counts for nothing. */
  noteOpen(requests: readonly PlayRequest[], now: number): void;
}

/** Starts at nothing. */
export function createPlayScore(play: Play): PlayScore {
  const result = createPlayResult(play);
  const inside = new Set<string>();

  function isCounted({arrivedAt}: PlayRequest): boolean {
    return arrivedAt >= play.warmupMs;
  }

  /** Undefined where nothing is owed to the request. */
  function findOwed(request: PlayRequest): AccountResult | undefined {
    if (!isCounted(request) || !inside.has(request.id)) return undefined;
    return result.accounts.get(request.account)!;
  }

  function noteLate(request: PlayRequest) {
    const account = findOwed(request);
    if (account) account.late++;
  }

  return {
    result,
    noteLate,
    noteArrival(request, isInside) {
      if (isInside) inside.add(request.id);
      if (!isCounted(request)) return;
      const account = result.accounts.get(request.account)!;
      account[isInside ? 'inside' : 'beyond']++;
    },
    noteRefusal(request, reason, now) {
      if (!isCounted(request)) return;
      result.refused.set(reason, (result.refused.get(reason) ?? 0) + 1);
      if (inside.has(request.id)) result.wrongful++;
      const waitedMs = now - request.arrivedAt;
      result.slowestRefusalMs = Math.max(result.slowestRefusalMs, waitedMs);
    },
    noteFirstToken(request, firstTokenMs, heldMs) {
      if (!findOwed(request)) return;
      recordFirstToken(result, request, firstTokenMs, heldMs);
    },
    noteAnswer(request) {
      const account = findOwed(request);
      if (!account) return;
      account.answered++;
      result.onlineTokens += request.answerTokens;
    },
    noteFailure(request) {
      const account = findOwed(request);
      if (account) account.failed++;
    },
    noteItem(now) {
      if (now < play.warmupMs) return;
      result.batch.completed++;
      getPoint(result, now).batch++;
    },
    noteYield(tokens) {
      result.batch.yielded++;
      result.batch.wastedTokens += tokens;
    },
    noteUsage(engines, sign) {
      for (const engine of engines) {
        const {busyMs, prefilledTokens} = engine.getUsage();
        result.engines.busyMs += sign * busyMs;
        result.engines.prefilledTokens += sign * prefilledTokens;
      }
    },
    noteOpen(requests, now) {
      for (const request of requests) {
        if (request.workClass !== 'online') continue;
        const account = findOwed(request);
        if (!account) continue;
        if (request.deadline <= now) noteLate(request);
        else account.inside--;
      }
    },
  };
}
