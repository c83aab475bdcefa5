/**
 * The time source of all code that waits. Functions that make decisions take
 * `now` as an argument instead; only their callers hold a clock.
 */

/** Cancels a scheduled call; does nothing if that has run or was cancelled. */
export type CancelSchedule = () => void;

/** Monotonic time, wall time and timers. All times are in ms. */
export interface Clock {
  /**
   * Monotonic time, for comparing and subtracting; never to be stored or sent.
   */
  now(): number;
  /**
   * Wall time since the epoch, for storing and display; never to be subtracted
   * for decisions.
   */
  wallNow(): number;
  /** Runs `task` once after `delayMs`. */
  schedule(delayMs: number, task: () => void): CancelSchedule;
}

/** Creates the real clock. Its timers do not keep the process alive. */
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

/** A timeout that a promise is raced against. */
export interface Timeout {
  /** Resolves to undefined when the time is over. */
  expired: Promise<undefined>;
  /** Removes the timer; a timer that is left wakes the process for nothing. */
  cancel: CancelSchedule;
}

export function createTimeout(clock: Clock, delayMs: number): Timeout {
  let cancel: CancelSchedule = () => {};
  const expired = new Promise<undefined>(resolve => {
    cancel = clock.schedule(delayMs, () => resolve(undefined));
  });
  return {expired, cancel};
}

/** Resolves after `delayMs` on the given clock. */
export function waitFor(clock: Clock, delayMs: number): Promise<void> {
  return new Promise(resolve => {
    clock.schedule(delayMs, resolve);
  });
}
