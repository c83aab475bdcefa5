/** A delay that can be aborted. */
import type {Clock} from '../../common/clock.js';

/** Resolves after `delayMs`, or immediately when `signal` aborts. */
export function waitUntilAborted(
  clock: Clock,
  delayMs: number,
  signal: AbortSignal,
): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise(resolve => {
    function finishWait() {
      cancelTimer();
      signal.removeEventListener('abort', finishWait);
      resolve();
    }
    const cancelTimer = clock.schedule(delayMs, finishWait);
    signal.addEventListener('abort', finishWait);
  });
}
