/**
 * The clock of one instance in a test. It can be paused like a stopped process,
 * ends with the instance, and may run fast or slow.
 */
import type {Clock} from '../common/clock.js';

/** The clock of one instance. */
export interface PausableClock extends Clock {
  /** Runs `task` now, or on resume if paused; never after the end. */
  receive(task: () => void): void;
  pause(): void;
  /** Continues; tasks that became due during the pause run at once, in order. */
  resume(): void;
  /** Ends the clock; none of its tasks runs any more. */
  end(): void;
}

/** Creates a clock on `common`; `speed` 1.001 gains 1 ms each second. */
export function createPausableClock(
  baseClock: Clock,
  speed = 1,
  offsetMs = 0,
): PausableClock {
  let state: 'running' | 'paused' | 'ended' = 'running';
  let backlog: (() => void)[] = [];

  function receive(task: () => void) {
    if (state === 'running') task();
    else if (state === 'paused') backlog.push(task);
  }

  return {
    now: () => baseClock.now() * speed + offsetMs,
    wallNow: () => baseClock.wallNow(),
    schedule: (delayMs, task) =>
      baseClock.schedule(delayMs / speed, () => receive(task)),
    receive,
    pause() {
      if (state === 'running') state = 'paused';
    },
    resume() {
      if (state !== 'paused') return;
      state = 'running';
      const due = backlog;
      backlog = [];
      for (const task of due) receive(task);
    },
    end() {
      state = 'ended';
      backlog = [];
    },
  };
}
