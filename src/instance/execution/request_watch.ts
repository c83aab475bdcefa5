/**
 * Watches running requests and ends them when their response is of no more use:
 * the caller has disconnected, the deadline has passed, or the key was
 * withdrawn.
 */
import type {CancelSchedule, Clock} from '../../common/clock.js';
import {RouterError, toRouterError} from '../../common/errors.js';
import {AUTHORIZE_INTERVAL_MS} from './constants.js';

/** The properties of a request that are watched. */
export interface WatchedRequest {
  /** Monotonic time after which the response is of no use. */
  deadline: number;
  /** Throws RouterError when the request's key is no longer valid. */
  authorize: () => void;
  /** Aborted when the caller disconnects. */
  signal: AbortSignal;
}

/** The watch of one request. */
export interface RequestWatch {
  /** Aborted when the request must end; `getReason` returns the reason. */
  signal: AbortSignal;
  /** The reason to end; its verdict does not cover an attempt in progress. */
  getReason(): RouterError | undefined;
  /** Awaits `promise`, but rejects with the reason if the request ends. */
  awaitOrEnd<Value>(promise: Promise<Value>): Promise<Value>;
  close(): void;
}

/** All watches of an instance. */
export interface RequestWatches {
  open(request: WatchedRequest): RequestWatch;
  count(): number;
}

interface OpenRequest {
  authorize: () => void;
  end(reason: RouterError): void;
}

/** Creates watches without requests. */
export function createRequestWatches(clock: Clock): RequestWatches {
  const open = new Set<OpenRequest>();
  let sweepScheduled = false;

  /** Ends requests whose key was withdrawn, also while a response streams. */
  function checkKeys() {
    sweepScheduled = false;
    for (const request of [...open]) {
      try {
        request.authorize();
      } catch (thrown) {
        request.end(toRouterError(thrown, 'may-have-run'));
      }
    }
    scheduleSweep();
  }

  function scheduleSweep() {
    if (sweepScheduled || open.size === 0) return;
    sweepScheduled = true;
    clock.schedule(AUTHORIZE_INTERVAL_MS, checkKeys);
  }

  return {
    count: () => open.size,
    open(request) {
      const controller = new AbortController();
      const entry: OpenRequest = {
        authorize: request.authorize,
        end: reason => controller.abort(reason),
      };
      const cancelDeadline = scheduleDeadline(request, clock, entry);
      const forwardAbort = () => entry.end(toAbortReason(request.signal));
      if (request.signal.aborted) forwardAbort();
      request.signal.addEventListener('abort', forwardAbort);
      open.add(entry);
      scheduleSweep();
      return {
        signal: controller.signal,
        getReason: () => controller.signal.reason as RouterError | undefined,
        awaitOrEnd: promise => awaitOrAbort(promise, controller.signal),
        close() {
          open.delete(entry);
          cancelDeadline();
          request.signal.removeEventListener('abort', forwardAbort);
        },
      };
    },
  };
}

function scheduleDeadline(
  request: WatchedRequest,
  clock: Clock,
  entry: OpenRequest,
): CancelSchedule {
  const endAtDeadline = () =>
    entry.end(
      new RouterError('deadline_exceeded', 'the deadline has passed', {
        verdict: 'not-run',
      }),
    );
  return clock.schedule(request.deadline - clock.now(), endAtDeadline);
}

/** Returns the caller's reason to abort, by default a disconnect. */
function toAbortReason({reason}: AbortSignal): RouterError {
  if (reason instanceof RouterError) return reason;
  return new RouterError('cancelled', 'the caller is gone', {
    verdict: 'not-run',
  });
}

async function awaitOrAbort<Value>(
  promise: Promise<Value>,
  signal: AbortSignal,
): Promise<Value> {
  let forward = () => {};
  const aborted = new Promise<never>((_resolve, reject) => {
    forward = () => reject(signal.reason);
  });
  if (signal.aborted) forward();
  signal.addEventListener('abort', forward);
  try {
    return await Promise.race([promise, aborted]);
  } finally {
    signal.removeEventListener('abort', forward);
  }
}
