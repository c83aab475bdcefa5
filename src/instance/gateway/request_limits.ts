/** Time limits of a request, and the events that end it without a response. */
import type {CancelSchedule, Clock} from '../../common/clock.js';

/**
 * Why a request ends without a complete response: the caller left, its time is over,
 * or the caller reads too slowly for the memory that the response needs.
 */
export type StopReason = 'gone' | 'deadline' | 'unread';

/** How long one request may be served. */
export interface RequestLifetime {
  /** Monotonic time by which it must have its final response. */
  endsAt: number;
  /** Aborted when the caller disconnects or the deadline passes. */
  signal: AbortSignal;
  getReason(): StopReason | undefined;
  /** Aborts the request unless it has ended. */
  stop(reason: StopReason): void;
  close(): void;
}

/** Limit on a request's wait for its first slot. */
export interface FirstSlotTimeout {
  /** Aborted when the request ends or the timeout expires. */
  signal: AbortSignal;
  hasExpired(): boolean;
  close(): void;
}

/** `startBy` is a monotonic time; Infinity means no timeout. */
export function createFirstSlotTimeout(
  clock: Clock,
  startBy: number,
  signal: AbortSignal,
): FirstSlotTimeout {
  if (!Number.isFinite(startBy)) {
    return {signal, hasExpired: () => false, close() {}};
  }
  const controller = new AbortController();
  let hasExpired = false;
  const abort = () => controller.abort();
  if (signal.aborted) abort();
  else signal.addEventListener('abort', abort);
  const cancelTimer = clock.schedule(Math.max(0, startBy - clock.now()), () => {
    hasExpired = !signal.aborted;
    abort();
  });
  return {
    signal: controller.signal,
    hasExpired: () => hasExpired,
    close() {
      cancelTimer();
      signal.removeEventListener('abort', abort);
    },
  };
}

/** `callerSignal` is aborted when the caller disconnects. */
export function createRequestLifetime(
  clock: Clock,
  endsAt: number,
  callerSignal: AbortSignal,
): RequestLifetime {
  const controller = new AbortController();
  let reason: StopReason | undefined;
  let cancelTimer: CancelSchedule = () => {};

  function stop(next: StopReason) {
    reason ??= next;
    controller.abort(new Error(`the request ended: ${reason}`));
  }

  const handleCallerGone = () => stop('gone');
  if (callerSignal.aborted) handleCallerGone();
  else callerSignal.addEventListener('abort', handleCallerGone, {once: true});
  cancelTimer = clock.schedule(Math.max(0, endsAt - clock.now()), () =>
    stop('deadline'),
  );
  return {
    endsAt,
    signal: controller.signal,
    getReason: () => reason,
    stop,
    close() {
      cancelTimer();
      callerSignal.removeEventListener('abort', handleCallerGone);
    },
  };
}
