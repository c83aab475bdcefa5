/**
 * Ends a call whose connection delivers no more bytes.
 *
 * A device between the two ends can drop an open connection silently. The
 * connection then stays open without any data while new connections work, and
 * the caller would hang until its deadline.
 *
 * The guard counts only the time spent waiting for bytes, not the time in which
 * the caller is slow to read them. On timeout the connection is destroyed, so
 * that late bytes cannot reach a later call. The client library has such
 * timeouts too, but checks them only about once a second, which is too slow for
 * a first token that is due within 0.4 s.
 */
import {RouterError} from '../../common/errors.js';

/** Delay of a timer above which the process counts as stalled. */
const STALL_THRESHOLD_MS = 20;

/** Measures how long no bytes have arrived. */
export interface SilenceTimer {
  /** Starts to wait for bytes, for at most `timeoutMs`. */
  start(timeoutMs: number): void;
  /** Stops waiting because bytes have arrived. */
  stop(): void;
  /** Removes timers and listeners when the call has ended. */
  close(): void;
}

/** The silence guard of one call. */
export interface SilenceGuard extends SilenceTimer {
  /** Aborted on timeout, and together with the call's own signal. */
  signal: AbortSignal;
}

/** `onSilent` is called on timeout. */
export function createSilenceTimer(
  onSilent: (error: RouterError) => void,
): SilenceTimer {
  let timer: NodeJS.Timeout | undefined;
  let dueAt = Infinity;
  let firesAt = Infinity;
  let isClosed = false;

  function checkSilence() {
    timer = undefined;
    const now = performance.now();
    // This process was stalled (paused, collecting garbage, or without a core)
    // and read nothing in that time, so it does not count as silence.
    const lateMs = now - firesAt;
    if (lateMs > STALL_THRESHOLD_MS) dueAt += lateMs;
    const leftMs = dueAt - now;
    // One timer covers many reads. Resetting it for each token would cost more
    // than letting it fire early and wait for the remaining time.
    if (leftMs > 0) scheduleCheck(leftMs);
    else onSilent(buildSilenceError());
  }

  function scheduleCheck(leftMs: number) {
    if (leftMs === Infinity) return;
    firesAt = performance.now() + leftMs;
    timer = setTimeout(checkSilence, leftMs);
  }

  return {
    start(timeoutMs) {
      // A caller that was slow may read on after the end of the call.
      if (isClosed) return;
      dueAt = performance.now() + timeoutMs;
      if (timer && dueAt >= firesAt) return;
      clearTimeout(timer);
      scheduleCheck(timeoutMs);
    },
    stop() {
      dueAt = Infinity;
    },
    close() {
      isClosed = true;
      clearTimeout(timer);
      timer = undefined;
    },
  };
}

/** Creates a guard for a call that the caller cancels by `callSignal`. */
export function createSilenceGuard(callSignal: AbortSignal): SilenceGuard {
  const controller = new AbortController();
  const timer = createSilenceTimer(error => controller.abort(error));

  /** Aborts with a new error, as the caller's reason cannot tell what ran. */
  function forwardAbort() {
    controller.abort(buildCancelError());
  }

  callSignal.addEventListener('abort', forwardAbort);
  return {
    signal: controller.signal,
    start: timer.start,
    stop: timer.stop,
    close() {
      timer.close();
      callSignal.removeEventListener('abort', forwardAbort);
    },
  };
}

function buildCancelError(): RouterError {
  return new RouterError('cancelled', 'the call was cancelled', {
    verdict: 'may-have-run',
  });
}

export function buildSilenceError(): RouterError {
  return new RouterError('endpoint_silent', 'the endpoint went silent', {
    verdict: 'may-have-run',
  });
}
