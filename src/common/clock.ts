/**
 * The time source handed to everything that waits. Functions that decide take
 * `now` as an argument instead; only their callers hold a clock.
 */

/** Ends a scheduled call; calling it again, or after the call ran, is harmless. */
export type CancelSchedule = () => void;

/** Monotonic and wall time, and timers. All times are in milliseconds. */
export interface Clock {
  /** Monotonic time: compare and subtract, never store or send. */
  now(): number;
  /** Wall time since the epoch: store and show, never subtract to decide. */
  wallNow(): number;
  /** Runs `task` once after `delayMs`. */
  schedule(delayMs: number, task: () => void): CancelSchedule;
}

/** The clock of the running process. Timers do not keep the process alive. */
export function createSystemClock(): Clock {
  return {
    now: () => performance.now(),
    wallNow: () => Date.now(),
    schedule(delayMs, task) {
      const timer = setTimeout(task, delayMs);
      timer.unref();
      return () => clearTimeout(timer);
    },
  };
}

/** Resolves after `delayMs` on the given clock. */
export function waitFor(clock: Clock, delayMs: number): Promise<void> {
  return new Promise(resolve => {
    clock.schedule(delayMs, resolve);
  });
}
