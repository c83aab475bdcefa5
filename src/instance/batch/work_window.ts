/**
 * Limits the items of a service that an instance has in progress. Items wait
 * for slots in the dispatcher's queue. A limited number waits there, so that
 * slots are filled as they become free. The others wait here, where a cancelled
 * or a more urgent job can still change which item is next.
 */
import {MAX_ACTIVE_ITEMS, MAX_WAITING_ITEMS} from './constants.js';

/** Permission to send one item. */
export interface Permit {
  /**
   * Marks that an endpoint has started to respond, so the item no longer waits.
   */
  markStarted(): void;
  /** Called once, when the attempt has ended. */
  release(): void;
}

/** Limits the items in progress. */
export interface WorkWindow {
  /** Waits for a permit; undefined when `signal` aborts first. */
  acquire(signal: AbortSignal): Promise<Permit | undefined>;
  /** Number of calls of `acquire` that wait for a permit. */
  countQueued(): number;
  describe(): object;
}

interface Waiter {
  resolve(permit: Permit | undefined): void;
}

/** Limits of a window, in items. */
export interface WindowLimits {
  maxWaiting: number;
  maxActive: number;
}

const DEFAULT_LIMITS: WindowLimits = {
  maxWaiting: MAX_WAITING_ITEMS,
  maxActive: MAX_ACTIVE_ITEMS,
};

/** Creates a window that gives permits in the order of the calls. */
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
