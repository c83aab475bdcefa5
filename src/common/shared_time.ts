/**
 * The time that all instances agree on: that of a steady clock outside of them,
 * here the store's, as its answers tell it.
 *
 * Wall clocks differ between machines and may step. An age worked out from two
 * of them may be wrong by any amount: work that has just been accepted would be
 * past its time where the clock is ahead.
 */
import type {Clock} from './clock.js';

/** Times are ms of the shared clock; only differences mean anything. */
export interface SharedTime {
  /** What the shared clock showed when an answer was written. */
  note(sharedMs: number): void;
  /** Undefined until an answer has told it. */
  read(): number | undefined;
}

/** Starts without knowing it. */
export function createSharedTime(clock: Clock): SharedTime {
  let offset: number | undefined;

  return {
    note(sharedMs) {
      // An answer is old by the time it took. The largest offset is of the
      // fastest answer, and grows by the time that a suspended machine slept,
      // which its monotonic clock does not count.
      offset = Math.max(offset ?? -Infinity, sharedMs - clock.now());
    },
    read: () => (offset === undefined ? undefined : clock.now() + offset),
  };
}
