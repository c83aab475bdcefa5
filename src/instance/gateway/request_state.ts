/**
 * State of one caller's request while it is served, and the errors it gets if
 * it ends without a complete response.
 */
import {normalizeId} from '../../common/ids.js';
import {RouterError, toRouterError} from '../../common/errors.js';
import type {HttpExchange} from '../callers/http_exchange.js';
import type {SlotWay} from '../dispatch/dispatch.js';
import type {RunSubject} from '../quarantine/run_subject.js';
import type {Trial} from '../quarantine/trials.js';
import type {StreamStart} from '../streams/stream_start.js';
import type {AdmissionCheck} from '../routing/check_admission.js';
import type {Route, RoutingAccount} from '../routing/routing_document.js';
import type {AnswerRelay} from './answer_relay.js';
import {
  DEFAULT_REQUEST_TIMEOUT_MS,
  REFUSED_RETRY_AFTER_MS,
  FIRST_SLOT_TIMEOUT_SHARE,
} from './constants.js';
import type {ReceivedResponse} from './endpoint_exchange.js';
import type {CallerRequest} from './protocols.js';
import type {RequestLifetime} from './request_limits.js';
import type {RunEnd} from './slot_run.js';

/** A request that passed authentication and has a route. */
export interface AdmittedRequest {
  exchange: HttpExchange;
  caller: CallerRequest;
  route: Route;
  /** Undefined on a public route. */
  account: RoutingAccount | undefined;
  /** Monotonic time at which it was received. */
  arrivedAt: number;
}

/** One attempt, as it is logged. */
export interface AttemptRecord extends Partial<ReceivedResponse> {
  endpoint: string;
  /** Version of the endpoint's software. */
  version?: string;
  /** Who granted its slot. */
  way: SlotWay;
  waitedMs: number;
  ranMs: number;
  end: RunEnd['kind'];
  reason?: string;
}

/** State of a request while it is served. */
export interface RequestState {
  admitted: AdmittedRequest;
  /** Version of the configuration under which it was admitted. */
  routingAtArrival: number;
  /** The route that it is held to: once it was sent, no later one. */
  route: Route;
  /** The service that runs it; undefined while it has provably not run. */
  service?: string;
  body: Buffer;
  /** What it asks for, whatever its id. */
  subject: RunSubject;
  /** Held from its first send on if its content or a part is a suspect. */
  trial?: Trial;
  lifetime: RequestLifetime;
  relay: AnswerRelay;
  /** Known once the caller has an event, of this attempt or of an earlier one. */
  start?: StreamStart;
  /** Number of sends that may have run it. */
  runs: number;
  /** Number of sends that provably did not run it. */
  notRunSends: number;
  avoid: string[];
  /** Number of slots asked for. */
  slotRequests: number;
  attempts: AttemptRecord[];
}

/** Returns the id by which the stream of a request is known at all instances. */
export function getStreamId({caller}: AdmittedRequest): string {
  return normalizeId(caller.resumes ?? caller.id);
}

/**
 * Computes the monotonic time by which a request must have its final response.
 */
export function computeDeadline({
  caller,
  route,
  arrivedAt,
}: AdmittedRequest): number {
  const callerTimeoutMs = caller.timeoutMs ?? DEFAULT_REQUEST_TIMEOUT_MS;
  return arrivedAt + Math.min(callerTimeoutMs, route.timeoutMs);
}

/**
 * Computes the time by which a request must have a slot; Infinity if its caller
 * waits until the deadline. A caller that times out waiting for the first event
 * never learns whether it may retry. Refused halfway, it still has time for an
 * attempt on another instance.
 */
export function computeStartBy({route, arrivedAt}: AdmittedRequest): number {
  if (route.eventPatienceMs <= 0) return Infinity;
  return arrivedAt + FIRST_SLOT_TIMEOUT_SHARE * route.eventPatienceMs;
}

/**
 * Converts a failure before a send; an earlier send may have run the request.
 */
export function toFinalError(
  state: RequestState,
  thrown: unknown,
): RouterError {
  const error = toRouterError(thrown, 'may-have-run');
  if (state.lifetime.getReason()) return buildStopError(state);
  if (state.runs === 0) return error;
  return new RouterError('endpoint_failed', error.message, {
    verdict: 'may-have-run',
    cause: error,
  });
}

/**
 * Builds the error for a request whose last send did not run; an earlier one
 * may have.
 */
export function buildNotRunError(
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
    retryAfterMs: REFUSED_RETRY_AFTER_MS,
  });
}

/**
 * Builds the error for a request whose caller left or reads too slowly, or whose
 * deadline passed.
 */
export function buildStopError(state: RequestState): RouterError {
  const verdict = state.runs > 0 ? 'may-have-run' : 'not-run';
  if (state.lifetime.getReason() === 'gone') {
    return new RouterError('cancelled', 'the caller is gone', {verdict});
  }
  if (state.lifetime.getReason() === 'unread') {
    return new RouterError(
      'slow_reader',
      'the caller reads too slowly for the memory of the instance',
      {verdict},
    );
  }
  if (verdict === 'may-have-run') {
    return new RouterError('deadline_exceeded', 'the time is up', {verdict});
  }
  return buildNoSlotError();
}

const ADMISSION_ERRORS: Record<
  Exclude<AdmissionCheck['kind'], 'allowed'>,
  () => RouterError
> = {
  'route-removed': () =>
    new RouterError('not_found', 'the route was taken away', {
      verdict: 'not-run',
    }),
  'route-changed': () =>
    new RouterError('route_changed', 'the route changed in its kind', {
      verdict: 'not-run',
      retryAfterMs: 0,
    }),
  'key-withdrawn': () =>
    new RouterError('key_withdrawn', 'the key was withdrawn', {
      verdict: 'not-run',
    }),
};

/** Builds the error for a request that the document in force does not allow any more. */
export function buildAdmissionError(
  kind: Exclude<AdmissionCheck['kind'], 'allowed'>,
): RouterError {
  return ADMISSION_ERRORS[kind]();
}

/** Builds the error for a request that no endpoint of its service may run. */
export function buildNoEndpointError(
  reason = 'no endpoint of the service takes work now',
): RouterError {
  return new RouterError('no_endpoint', reason, {
    verdict: 'not-run',
    retryAfterMs: REFUSED_RETRY_AFTER_MS,
  });
}

/** Builds the error for a request that was never sent to an endpoint. */
export function buildNoSlotError(
  retryAfterMs = REFUSED_RETRY_AFTER_MS,
): RouterError {
  return new RouterError('overloaded', 'no slot came free in time', {
    verdict: 'not-run',
    retryAfterMs,
  });
}
