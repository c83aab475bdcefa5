/**
 * Records the outcomes of requests in a simulation. Only requests that arrive
 * after the warm-up count, and only those inside their account's rate count as
 * answered, late or failed.
 */
import type {EngineModel} from './engine_model.js';
import {
  createSimulationResult,
  getPoint,
  recordFirstToken,
  type AccountResult,
  type SimulationResult,
} from './simulation_result.js';
import type {Scenario} from './scenario_schema.js';
import type {SimulatedRequest} from './traffic.js';

/** The reason of a refusal. */
type RefusalReason = Parameters<SimulationResult['refused']['get']>[0];

/** Records the outcomes of one simulation. */
export interface ResultRecorder {
  result: SimulationResult;
  noteArrival(request: SimulatedRequest, isInside: boolean): void;
  noteRefusal(
    request: SimulatedRequest,
    reason: RefusalReason,
    now: number,
  ): void;
  noteFirstToken(
    request: SimulatedRequest,
    firstTokenMs: number,
    batchDelayMs: number,
  ): void;
  noteAnswer(request: SimulatedRequest): void;
  /** Records a request that was not answered by its deadline. */
  noteLate(request: SimulatedRequest): void;
  noteFailure(request: SimulatedRequest): void;
  /** Records a completed item of a batch job. */
  noteItem(now: number): void;
  /** Records an item that yielded after it had generated `tokens`. */
  noteYield(tokens: number): void;
  /** Adds the engines' usage so far, or subtracts it with `sign` -1. */
  noteUsage(engines: readonly EngineModel[], sign: 1 | -1): void;
  /**
   * Records the requests that are still open at the end. Those past their
   * deadline are late; the others do not count.
   */
  noteOpen(requests: readonly SimulatedRequest[], now: number): void;
}

/** Creates a recorder in which every figure is 0. */
export function createResultRecorder(scenario: Scenario): ResultRecorder {
  const result = createSimulationResult(scenario);
  const inside = new Set<string>();

  function isCounted({arrivedAt}: SimulatedRequest): boolean {
    return arrivedAt >= scenario.warmupMs;
  }

  /** Returns undefined if the outcome of the request does not count. */
  function findCountedAccount(
    request: SimulatedRequest,
  ): AccountResult | undefined {
    if (!isCounted(request) || !inside.has(request.id)) return undefined;
    return result.accounts.get(request.account)!;
  }

  function noteLate(request: SimulatedRequest) {
    const account = findCountedAccount(request);
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
    noteFirstToken(request, firstTokenMs, batchDelayMs) {
      if (!findCountedAccount(request)) return;
      recordFirstToken(result, request, firstTokenMs, batchDelayMs);
    },
    noteAnswer(request) {
      const account = findCountedAccount(request);
      if (!account) return;
      account.answered++;
      result.onlineTokens += request.answerTokens;
    },
    noteFailure(request) {
      const account = findCountedAccount(request);
      if (account) account.failed++;
    },
    noteItem(now) {
      if (now < scenario.warmupMs) return;
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
        const account = findCountedAccount(request);
        if (!account) continue;
        if (request.deadline <= now) noteLate(request);
        else account.inside--;
      }
    },
  };
}
