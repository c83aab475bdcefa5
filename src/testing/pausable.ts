/**
 * A process under the test's control: while it is paused its timers do not
 * fire and nothing it called returns; once it is dead nothing ever does.
 */
import type {Clock} from '../common/clock.js';

/** The state of one process. */
export interface Process {
  /** The clock that the process sees. Time goes on while it is paused. */
  clock: Clock;
  pause(): void;
  resume(): void;
  kill(): void;
  isRunning(): boolean;
  isDead(): boolean;
  /** Resolves when the process runs; never once it is dead. */
  awaitRunning(): Promise<void>;
  /** `target`, whose calls and answers wait while the process is paused. */
  buildGuarded<Target extends object>(target: Target): Target;
}

/** A running process on `base`. */
export function createProcess(base: Clock): Process {
  let state: 'running' | 'paused' | 'dead' = 'running';
  let waiting: (() => void)[] = [];

  function awaitRunning(): Promise<void> {
    if (state === 'running') return Promise.resolve();
    return new Promise(resolve => waiting.push(resolve));
  }

  function buildGuarded<Target extends object>(target: Target): Target {
    return new Proxy(target, {
      get(_target, name, receiver) {
        const member: unknown = Reflect.get(target, name, receiver);
        if (typeof member !== 'function') return member;
        return async (...parameters: unknown[]) => {
          await awaitRunning();
          try {
            return await (member as (...all: unknown[]) => unknown).apply(
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
      const woken = waiting;
      waiting = [];
      for (const wake of woken) wake();
    },
    kill() {
      state = 'dead';
      waiting = [];
    },
    isRunning: () => state === 'running',
    isDead: () => state === 'dead',
    awaitRunning,
    buildGuarded,
  };
}
