/**
 * A simulated process that a test can pause or kill. While it is paused, its
 * timers do not fire and its calls do not return; after a kill they never do.
 */
import type {Clock} from '../common/clock.js';

/** A process that can be paused and killed. */
export interface PausableProcess {
  /** The clock of the process. Its time continues while it is paused. */
  clock: Clock;
  pause(): void;
  resume(): void;
  kill(): void;
  isRunning(): boolean;
  isDead(): boolean;
  /** Resolves as soon as the process is running; never after a kill. */
  awaitRunning(): Promise<void>;
  /** Wraps `target` so that calls and their results wait during a pause. */
  buildPausable<Target extends object>(target: Target): Target;
}

/** Creates a running process whose clock is based on `base`. */
export function createPausableProcess(base: Clock): PausableProcess {
  let state: 'running' | 'paused' | 'dead' = 'running';
  let resumeCallbacks: (() => void)[] = [];

  function awaitRunning(): Promise<void> {
    if (state === 'running') return Promise.resolve();
    return new Promise(resolve => resumeCallbacks.push(resolve));
  }

  function buildPausable<Target extends object>(target: Target): Target {
    return new Proxy(target, {
      get(_target, name, receiver) {
        const property: unknown = Reflect.get(target, name, receiver);
        if (typeof property !== 'function') return property;
        return async (...parameters: unknown[]) => {
          await awaitRunning();
          try {
            return await (property as (...all: unknown[]) => unknown).apply(
              target,
              parameters,
            );
          } finally {
            await awaitRunning();
          }
        };
      },
    });
  }

  return {
    clock: {
      now: base.now,
      wallNow: base.wallNow,
      schedule: (delayMs, task) =>
        base.schedule(delayMs, () => void awaitRunning().then(task)),
    },
    pause() {
      if (state === 'running') state = 'paused';
    },
    resume() {
      if (state !== 'paused') return;
      state = 'running';
      const callbacks = resumeCallbacks;
      resumeCallbacks = [];
      for (const wake of callbacks) wake();
    },
    kill() {
      state = 'dead';
      resumeCallbacks = [];
    },
    isRunning: () => state === 'running',
    isDead: () => state === 'dead',
    awaitRunning,
    buildPausable,
  };
}
