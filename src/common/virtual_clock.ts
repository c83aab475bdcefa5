/**
 * A clock that advances only on demand, so that tests and simulations have the
 * same result on every run.
 */
import {Heap} from 'heap-js';
import type {Clock} from './clock.js';

interface ScheduledTask {
  dueAt: number;
  sequence: number;
  cancelled: boolean;
  task: () => void;
}

/** A clock that is advanced by the test. */
export interface VirtualClock extends Clock {
  /** Advances the time and runs each due task at its own time, in order. */
  advance(byMs: number): void;
  /** Like `advance`, but runs pending promise callbacks after each task. */
  advanceAsync(byMs: number): Promise<void>;
  /**
   * Returns the time of the next scheduled task; undefined if there is none.
   */
  peekNext(): number | undefined;
}

/** `wallOffset` is the wall time at monotonic time 0. */
export function createVirtualClock(wallOffset = 0): VirtualClock {
  let time = 0;
  let sequence = 0;
  const tasks = new Heap<ScheduledTask>(
    (a, b) => a.dueAt - b.dueAt || a.sequence - b.sequence,
  );

  function takeDue(until: number): ScheduledTask | undefined {
    for (;;) {
      const next = tasks.peek();
      if (!next || next.dueAt > until) return undefined;
      tasks.pop();
      if (!next.cancelled) return next;
    }
  }

  return {
    now: () => time,
    wallNow: () => wallOffset + time,
    schedule(delayMs, task) {
      const entry: ScheduledTask = {
        dueAt: time + Math.max(0, delayMs),
        sequence: sequence++,
        cancelled: false,
        task,
      };
      tasks.push(entry);
      return () => {
        entry.cancelled = true;
      };
    },
    advance(byMs) {
      const until = time + byMs;
      for (let due = takeDue(until); due; due = takeDue(until)) {
        time = due.dueAt;
        due.task();
      }
      time = until;
    },
    async advanceAsync(byMs) {
      const until = time + byMs;
      await drainMicrotasks();
      for (let due = takeDue(until); due; due = takeDue(until)) {
        time = due.dueAt;
        due.task();
        await drainMicrotasks();
      }
      time = until;
    },
    peekNext() {
      while (tasks.peek()?.cancelled) tasks.pop();
      return tasks.peek()?.dueAt;
    },
  };
}

/** Runs pending promise callbacks, and those that they make pending in turn. */
async function drainMicrotasks(): Promise<void> {
  for (let turn = 0; turn < 4; turn++) {
    await new Promise<void>(resolve => setImmediate(resolve));
  }
}
