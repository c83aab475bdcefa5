/**
 * The clock of one instance of a test: it can be paused like a stopped process,
 * ends with the instance, and may run fast or slow.
 */
import type {Clock} from '../common/clock.js';

/** One instance's clock. */
export interface PausableClock extends Clock {
  /** Runs `task` now, or when the instance goes on; never once it has ended. */
  receive(task: () => void): void;
  pause(): void;
  /** Goes on: what was due meanwhile runs at once, in order. */
  resume(): void;
  /** The instance is gone: nothing of it runs any more. */
  end(): void;
}

/** `speed` 1.001 gains a thousandth on the common time. */
export function createPausableClock(
  common: Clock,
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
    now: () => common.now() * speed + offsetMs,
    wallNow: () => common.wallNow(),
    schedule: (delayMs, task) =>
      common.schedule(delayMs / speed, () => receive(task)),
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
