/**
 * What is known of one caller's request while it is served, and what it may be
 * told when it ends without a whole answer.
 */
import {RouterError, toRouterError} from '../../common/errors.js';
import type {HttpExchange} from '../callers/http_exchange.js';
import type {SlotWay} from '../dispatch/dispatch.js';
import type {Route, RoutingAccount} from '../routing/routing_document.js';
import type {AnswerRelay} from './answer_relay.js';
import {
  DEFAULT_PATIENCE_MS,
  REFUSED_RETRY_MS,
  START_SHARE,
} from './constants.js';
import type {CallerRequest} from './protocols.js';
import type {RequestEnd} from './request_limits.js';
import type {RunEnd} from './slot_run.js';

/** A request that was let in. */
export interface AdmittedRequest {
  exchange: HttpExchange;
  caller: CallerRequest;
  route: Route;
  /** Undefined on a public route. */
  account: RoutingAccount | undefined;
  /** Monotonic time at which it came. */
  arrivedAt: number;
}

/** One try as the log tells it. */
export interface TryRecord {
  endpoint: string;
  /** Who granted its slot. */
  way: SlotWay;
  waitedMs: number;
  ranMs: number;
  end: RunEnd['kind'];
  reason?: string;
}

/** What is known of a request while it is served. */
export interface RequestState {
  admitted: AdmittedRequest;
  body: Buffer;
  /** Names what is asked for, under whichever id it comes. */
  content: string;
  end: RequestEnd;
  relay: AnswerRelay;
  /** Sends that may have run it. */
  runs: number;
  /** Sends that certainly did not. */
  unrun: number;
  avoid: string[];
  tries: TryRecord[];
}

/** Works out the time by which a request has its final answer. */
export function computeEnd({
  caller,
  route,
  arrivedAt,
}: AdmittedRequest): number {
  const patienceMs = caller.patienceMs ?? DEFAULT_PATIENCE_MS;
  return arrivedAt + Math.min(patienceMs, route.timeoutMs);
}

/**
 * Works out the time by which a request must have a slot; Infinity where its
 * caller waits as long as its deadline. A caller that leaves for want of a first
 * event never learns whether to come back: told halfway, it still has the time
 * for another try elsewhere.
 */
export function computeStartBy({route, arrivedAt}: AdmittedRequest): number {
  if (route.eventPatienceMs <= 0) return Infinity;
  return arrivedAt + START_SHARE * route.eventPatienceMs;
}

/** What a failure before a send means for a request that was sent before. */
export function toFinalError(
  state: RequestState,
  thrown: unknown,
): RouterError {
  const error = toRouterError(thrown, 'may-have-run');
  if (state.end.getReason()) return buildStopError(state);
  if (state.runs === 0) return error;
  return new RouterError('endpoint_failed', error.message, {
    verdict: 'may-have-run',
    cause: error,
  });
}

/** For a request that no endpoint ran this time; it may have run before. */
export function buildUnrunError(
  state: RequestState,
  message: string,
): RouterError {
  if (state.runs > 0) {
    return new RouterError('endpoint_failed', message, {
      verdict: 'may-have-run',
    });
  }
  return new RouterError('overloaded', message, {
    verdict: 'not-run',
    retryAfterMs: REFUSED_RETRY_MS,
  });
}

/** For a request that ended because its caller left or its time is up. */
export function buildStopError(state: RequestState): RouterError {
  const verdict = state.runs > 0 ? 'may-have-run' : 'not-run';
  if (state.end.getReason() === 'gone') {
    return new RouterError('cancelled', 'the caller is gone', {verdict});
  }
  if (verdict === 'may-have-run') {
    return new RouterError('deadline_exceeded', 'the time is up', {verdict});
  }
  return buildUnstartedError();
}

/** For a request that no endpoint was asked to run. */
export function buildUnstartedError(): RouterError {
  return new RouterError('overloaded', 'no slot came free in time', {
    verdict: 'not-run',
    retryAfterMs: REFUSED_RETRY_MS,
  });
}
