/**
 * A clock that moves only when told to, so that tests and plays give the same
 * verdict on every run.
 */
import {Heap} from 'heap-js';
import type {Clock} from './clock.js';

interface ScheduledTask {
  dueAt: number;
  sequence: number;
  cancelled: boolean;
  task: () => void;
}

/** A clock under the test's control. */
export interface VirtualClock extends Clock {
  /** Moves time forward, running each due task at its own time, in order. */
  advance(byMs: number): void;
  /** As `advance`, letting promise callbacks run after each task. */
  advanceAsync(byMs: number): Promise<void>;
  /** Time of the next scheduled task, or undefined when none is left. */
  peekNext(): number | undefined;
}

/** `wallOffset` is what the wall clock shows when monotonic time is zero. */
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

/** Lets every promise callback that is ready, and those they ready, run. */
async function drainMicrotasks(): Promise<void> {
  for (let turn = 0; turn < 4; turn++) {
    await new Promise<void>(resolve => setImmediate(resolve));
  }
}
