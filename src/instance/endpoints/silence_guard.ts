/**
 * Ends a call on whose connection nothing comes any more.
 *
 * Failure it answers: something between the two ends loses track of an open
 * connection; it stays open and silent for good while new ones work. Symptom:
 * the caller hangs until its deadline. The guard counts only time spent
 * waiting for bytes, not time in which the caller was slow to take them, and
 * destroys the connection, so nothing that comes late can reach a later call.
 * The client library has such timeouts too, but checks them about once a
 * second, which is long beside a first token due within 0.4 s.
 */
import {RouterError} from '../../common/errors.js';

/** A timer that fires this much late shows that the process stood still. */
const STALL_MS = 20;

/** Watches one call. */
export interface SilenceGuard {
  /** Aborted on silence, and with the call's own signal. */
  signal: AbortSignal;
  /** Bytes are awaited from now on, for `timeoutMs` at the most. */
  start(timeoutMs: number): void;
  /** Bytes came. */
  stop(): void;
  /** The call has ended. */
  close(): void;
}

/** `callSignal` is the caller's. */
export function createSilenceGuard(callSignal: AbortSignal): SilenceGuard {
  const controller = new AbortController();
  let timer: NodeJS.Timeout | undefined;
  let dueAt = Infinity;
  let firesAt = Infinity;

  function checkSilence() {
    timer = undefined;
    const now = performance.now();
    // This process stood still (paused, collecting garbage, short of a core)
    // and read nothing meanwhile: that time is not the endpoint's silence.
    const lateMs = now - firesAt;
    if (lateMs > STALL_MS) dueAt += lateMs;
    const leftMs = dueAt - now;
    // The timer runs on over many reads: moving it for each token would cost
    // more than letting it fire early and wait for the rest.
    if (leftMs > 0) scheduleCheck(leftMs);
    else controller.abort(buildSilenceError());
  }

  function scheduleCheck(leftMs: number) {
    if (leftMs === Infinity) return;
    firesAt = performance.now() + leftMs;
    timer = setTimeout(checkSilence, leftMs);
  }

  /** The caller's reason is not passed on: it says nothing of what ran here. */
  function forwardAbort() {
    controller.abort(
      new RouterError('cancelled', 'the call was cancelled', {
        verdict: 'may-have-run',
      }),
    );
  }

  callSignal.addEventListener('abort', forwardAbort);
  return {
    signal: controller.signal,
    start(timeoutMs) {
      dueAt = performance.now() + timeoutMs;
      if (timer && dueAt >= firesAt) return;
      clearTimeout(timer);
      scheduleCheck(timeoutMs);
    },
    stop() {
      dueAt = Infinity;
    },
    close() {
      clearTimeout(timer);
      timer = undefined;
      callSignal.removeEventListener('abort', forwardAbort);
    },
  };
}

function buildSilenceError(): RouterError {
  return new RouterError('endpoint_silent', 'the endpoint went silent', {
    verdict: 'may-have-run',
  });
}
