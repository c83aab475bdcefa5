/**
 * The time that all instances agree on: that of a steady external clock, here
 * the store's, taken from its responses.
 *
 * Wall clocks differ between machines and may step, so an age computed from two
 * of them may be wrong by any amount: work that was just accepted would be past
 * its deadline on a machine whose clock is ahead.
 */
import type {Clock} from './clock.js';

/**
 * Times are in ms of the shared clock; only their differences have a meaning.
 */
export interface SharedTime {
  /** Records the shared time at which a response was written. */
  note(sharedMs: number): void;
  /** Returns the shared time; undefined before the first response. */
  read(): number | undefined;
}

export function createSharedTime(clock: Clock): SharedTime {
  let offset: number | undefined;

  return {
    note(sharedMs) {
      // A response is as old as its latency, so the largest offset comes from
      // the fastest response. It grows by the duration of a suspension, which
      // the monotonic clock does not count.
      offset = Math.max(offset ?? -Infinity, sharedMs - clock.now());
    },
    read: () => (offset === undefined ? undefined : clock.now() + offset),
  };
}
