/**
 * Endpoints on virtual time that crash when their requests exceed their memory,
 * and load of mixed sizes, for the tests of engine_memory.
 */
import {createRandom} from '../plays/random.js';
import {createPoolScheduler, type PoolScheduler} from './pool_scheduler.js';
import {makeEndpoints, makeRequest} from './scheduler_fixtures.js';
import type {
  PoolLimits,
  RefusalReason,
  ScheduledRequest,
  SchedulerAction,
  SchedulerOutcome,
} from './scheduler_types.js';

/** Memory of an endpoint as the operator states it. */
export const MEMORY_TOKENS = 147_261;

const STEP_MS = 10;
const FIRST_BYTE_MS = 50;
/** Time that a crashed endpoint needs to start again. */
const RESTART_MS = 2000;
/** Time from a yield order until the holder stops the item. */
const YIELD_MS = 20;
/** Time from the end of a connection until the engine frees its memory. */
const FREE_DELAY_MS = 30;

interface Run {
  request: ScheduledRequest;
  endpoint: string;
  sentAt: number;
  endsAt: number;
  isYielding?: boolean;
}

/** What happened to the requests of a play. */
export interface MemoryResult {
  crashes: number;
  answered: number;
  lost: number;
  yielded: number;
  /** Waits of granted requests, in ms. */
  waits: {request: ScheduledRequest; waitedMs: number}[];
  refused: Map<RefusalReason, number>;
  /** Largest sum of tokens that was on one endpoint at once. */
  mostTokens: number;
}

/** Builds a load of `perS` requests per second, of which some are large. */
export function createMixedLoad(
  seed: number,
  perS: number,
  largeShare: number,
): (now: number) => ScheduledRequest[] {
  const random = createRandom(seed);
  return now => {
    const due = random.draw() < (perS * STEP_MS) / 1000;
    if (!due) return [];
    const isLarge = random.draw() < largeShare;
    const promptTokens = isLarge
      ? Math.floor(MEMORY_TOKENS / 3) - 60
      : 250 + Math.floor(400 * random.draw());
    return [
      makeRequest({
        account: `account-${Math.floor(7 * random.draw())}`,
        promptTokens,
        deadline: now + 5000,
      }),
    ];
  };
}

/** Whether a request of the mixed load is one of the large ones. */
export function isLarge({promptTokens}: ScheduledRequest): boolean {
  return promptTokens > MEMORY_TOKENS / 4;
}

/** Starts a play in which each request runs for `runMs`. */
export function createMemoryPlay(
  count: number,
  limits: PoolLimits,
  runMs: (request: ScheduledRequest) => number = () => 700,
) {
  const endpoints = makeEndpoints(count);
  const result: MemoryResult = {
    crashes: 0,
    answered: 0,
    lost: 0,
    yielded: 0,
    waits: [],
    refused: new Map(),
    mostTokens: 0,
  };
  const arrivedAt = new Map<string, number>();
  const waiting = new Map<string, ScheduledRequest>();
  const running = new Map<string, Run>();
  /** Requests that left an endpoint whose memory is not free yet. */
  let leaving: {endpoint: string; tokens: number; until: number}[] = [];
  const downUntil = new Map<string, number>();
  let scheduler = startScheduler(-10_000);
  let now = 0;

  function startScheduler(at: number): PoolScheduler {
    const started = createPoolScheduler(limits);
    started.setEndpoints(endpoints, at);
    return started;
  }

  const countTokens = ({promptTokens, answerTokens}: ScheduledRequest) =>
    promptTokens + answerTokens;

  function sumTokens(endpoint: string): number {
    let sum = 0;
    for (const run of running.values()) {
      if (run.endpoint === endpoint) sum += countTokens(run.request);
    }
    for (const each of leaving) {
      if (each.endpoint === endpoint) sum += each.tokens;
    }
    return sum;
  }

  function failEndpoint(endpoint: string) {
    result.crashes++;
    downUntil.set(endpoint, now + RESTART_MS);
    leaving = leaving.filter(each => each.endpoint !== endpoint);
    for (const run of [...running.values()]) {
      if (run.endpoint !== endpoint) continue;
      result.lost++;
      end(run, 'failed');
    }
  }

  function end(run: Run, kind: SchedulerOutcome['kind']) {
    running.delete(run.request.id);
    if (kind === 'yielded') {
      result.yielded++;
      const tokens = countTokens(run.request);
      leaving.push({
        endpoint: run.endpoint,
        tokens,
        until: now + FREE_DELAY_MS,
      });
    }
    const totalMs = now - run.sentAt;
    const answer =
      kind === 'answered' ? {firstByteMs: FIRST_BYTE_MS, totalMs} : {};
    apply(scheduler.release(run.request.id, {kind, tokens: 0, ...answer}, now));
  }

  function grant(requestId: string, endpoint: string) {
    const request = waiting.get(requestId)!;
    waiting.delete(requestId);
    const waitedMs = now - arrivedAt.get(requestId)!;
    result.waits.push({request, waitedMs});
    const run = {request, endpoint, sentAt: now, endsAt: now + runMs(request)};
    running.set(requestId, run);
    if (now < (downUntil.get(endpoint) ?? 0)) {
      result.lost++;
      end(run, 'refused');
      return;
    }
    const tokens = sumTokens(endpoint);
    result.mostTokens = Math.max(result.mostTokens, tokens);
    if (tokens > MEMORY_TOKENS) failEndpoint(endpoint);
  }

  function apply(actions: readonly SchedulerAction[]) {
    for (const action of actions) {
      if (action.kind === 'grant') grant(action.requestId, action.endpoint);
      if (action.kind === 'refuse') {
        waiting.delete(action.requestId);
        const {reason} = action;
        result.refused.set(reason, (result.refused.get(reason) ?? 0) + 1);
      }
      const run = running.get(action.requestId);
      if (action.kind === 'yield' && run) {
        run.isYielding = true;
        run.endsAt = Math.min(run.endsAt, now + YIELD_MS);
      }
    }
  }

  function submit(request: ScheduledRequest) {
    arrivedAt.set(request.id, now);
    waiting.set(request.id, request);
    apply(scheduler.submit(request, now));
  }

  return {
    result,
    submit,
    getScheduler: () => scheduler,
    /** Replaces the dispatcher by one that adopts what runs. */
    replaceDispatcher() {
      scheduler = startScheduler(now);
      for (const {request, endpoint} of running.values()) {
        scheduler.adopt(request, endpoint, now);
      }
      for (const request of [...waiting.values()]) {
        apply(scheduler.submit(request, now));
      }
    },
    /** Runs until `until`; `load` returns the requests that arrive at a time. */
    run(until: number, load: (now: number) => readonly ScheduledRequest[]) {
      for (; now < until; now += STEP_MS) {
        leaving = leaving.filter(each => each.until > now);
        for (const run of [...running.values()]) {
          if (now === run.sentAt + FIRST_BYTE_MS) {
            scheduler.noteFirstByte(run.request.id, FIRST_BYTE_MS, now);
          }
          if (run.endsAt > now || !running.has(run.request.id)) continue;
          if (!run.isYielding) result.answered++;
          end(run, run.isYielding ? 'yielded' : 'answered');
        }
        for (const request of load(now)) submit(request);
        apply(scheduler.decide(now));
      }
    },
  };
}
