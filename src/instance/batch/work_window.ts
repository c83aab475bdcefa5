/**
 * How many items of a service an instance has under way. Items wait for slots
 * in the dispatcher's queue; a bounded number is kept waiting there, so that
 * slots fill as they fall free and the rest stays here, where a cancelled job
 * or a more urgent one still changes what goes next.
 */
import {MAX_ACTIVE_ITEMS, MAX_WAITING_ITEMS} from './constants.js';

/** Leave to send one item. */
export interface Permit {
  /** An endpoint has begun to answer: the item waits no more. */
  markStarted(): void;
  /** Called once, when the try has ended. */
  release(): void;
}

/** The items under way. */
export interface WorkWindow {
  /** Waits for a permit; undefined when `signal` aborts first. */
  acquire(signal: AbortSignal): Promise<Permit | undefined>;
  /** Permits asked for and not yet given. */
  countQueued(): number;
  describe(): object;
}

interface Waiter {
  resolve(permit: Permit | undefined): void;
}

/** Sizes of a window. */
export interface WindowLimits {
  maxWaiting: number;
  maxActive: number;
}

const DEFAULT_LIMITS: WindowLimits = {
  maxWaiting: MAX_WAITING_ITEMS,
  maxActive: MAX_ACTIVE_ITEMS,
};

/** Starts empty; permits are given in the order in which they are asked for. */
export function createWorkWindow(limits = DEFAULT_LIMITS): WorkWindow {
  const queue = new Set<Waiter>();
  let waiting = 0;
  let active = 0;

  function hasRoom(): boolean {
    return waiting < limits.maxWaiting && active < limits.maxActive;
  }

  function createPermit(): Permit {
    let isWaiting = true;
    let isActive = true;
    waiting++;
    active++;

    function markStarted() {
      if (!isWaiting) return;
      isWaiting = false;
      waiting--;
      wakeNext();
    }

    return {
      markStarted,
      release() {
        if (!isActive) return;
        isActive = false;
        active--;
        markStarted();
        wakeNext();
      },
    };
  }

  function wakeNext() {
    for (const waiter of queue) {
      if (!hasRoom()) return;
      queue.delete(waiter);
      waiter.resolve(createPermit());
    }
  }

  function waitInQueue(signal: AbortSignal): Promise<Permit | undefined> {
    return new Promise(resolve => {
      const waiter: Waiter = {
        resolve(permit) {
          signal.removeEventListener('abort', leaveQueue);
          resolve(permit);
        },
      };
      function leaveQueue() {
        queue.delete(waiter);
        waiter.resolve(undefined);
      }
      signal.addEventListener('abort', leaveQueue);
      queue.add(waiter);
    });
  }

  return {
    async acquire(signal) {
      if (signal.aborted) return undefined;
      if (queue.size === 0 && hasRoom()) return createPermit();
      return waitInQueue(signal);
    },
    countQueued: () => queue.size,
    describe: () => ({waiting, active, queued: queue.size}),
  };
}
