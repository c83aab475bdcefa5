/** How long one request may take, and what ends it before it is answered. */
import type {CancelSchedule, Clock} from '../../common/clock.js';
import {mergeSignals} from '../execution/linked_signal.js';

/** Why a request ends without an answer. */
export type StopReason = 'gone' | 'deadline';

/** The end of one request. */
export interface RequestEnd {
  /** Monotonic time by which it has its final answer. */
  endsAt: number;
  /** Aborted when the caller is gone or the time is up. */
  signal: AbortSignal;
  getReason(): StopReason | undefined;
  close(): void;
}

/** How long a request may wait for its first slot. */
export interface StartBound {
  /** Aborted when the request ends, or must not wait any longer. */
  signal: AbortSignal;
  hasPassed(): boolean;
  close(): void;
}

/** `startBy` is a monotonic time, Infinity for none. */
export function createStartBound(
  clock: Clock,
  startBy: number,
  signal: AbortSignal,
): StartBound {
  const bound = new AbortController();
  const linked = mergeSignals(bound.signal, signal);
  const cancelTimer = Number.isFinite(startBy)
    ? clock.schedule(Math.max(0, startBy - clock.now()), () => bound.abort())
    : () => {};
  return {
    signal: linked.signal,
    hasPassed: () => bound.signal.aborted,
    close() {
      cancelTimer();
      linked.close();
    },
  };
}

/** `callerSignal` is aborted when the caller is gone. */
export function createRequestEnd(
  clock: Clock,
  endsAt: number,
  callerSignal: AbortSignal,
): RequestEnd {
  const controller = new AbortController();
  let reason: StopReason | undefined;
  let cancelTimer: CancelSchedule = () => {};

  function stop(next: StopReason) {
    reason ??= next;
    controller.abort(new Error(`the request ended: ${reason}`));
  }

  const handleGone = () => stop('gone');
  if (callerSignal.aborted) handleGone();
  else callerSignal.addEventListener('abort', handleGone, {once: true});
  cancelTimer = clock.schedule(Math.max(0, endsAt - clock.now()), () =>
    stop('deadline'),
  );
  return {
    endsAt,
    signal: controller.signal,
    getReason: () => reason,
    close() {
      cancelTimer();
      callerSignal.removeEventListener('abort', handleGone);
    },
  };
}
