/**
 * Decides when items run again that were cut off at one endpoint after the other.
 *
 * Load pattern: a series of crashes ends the same item on several endpoints before its
 * first event, and the items that were lost with it.
 *
 * Without a bound, items that did crash their endpoints would each take one more with
 * every retry. If they were held back instead, sound items that were merely unlucky
 * would be late or lost: an accepted item is owed.
 *
 * So items on probation start one after the other, each as soon as the one before has
 * had an event, and after one that had none only PROBATION_PAUSE_MS later. All sound
 * items are running again within a moment, and items that are not cost an instance one
 * endpoint per pause.
 */

/** Runs without an event, in a row, after which an item is on probation. */
export const PROBATION_RUNS = 3;

/** Time after a run without an event until the next item on probation, in ms. */
export const PROBATION_PAUSE_MS = 1500;

/** A run of an item on probation. */
export interface ProbationRun {
  /** Notes that the endpoint sent an event, so that the next item may start. */
  noteEvent(): void;
  /** Ends the run at `now`, monotonic time in ms; has no effect after the first call. */
  end(hadEvent: boolean, now: number): void;
}

/** The items on probation of one instance. */
export interface ItemProbation {
  mayStart(now: number): boolean;
  startRun(): ProbationRun;
}

export function createItemProbation(): ItemProbation {
  let current: ProbationRun | undefined;
  let pausedUntil = 0;

  return {
    mayStart: now => !current && now >= pausedUntil,
    startRun() {
      const run: ProbationRun = {
        noteEvent() {
          if (current === run) current = undefined;
        },
        end(hadEvent, now) {
          if (current !== run) return;
          current = undefined;
          if (!hadEvent) pausedUntil = now + PROBATION_PAUSE_MS;
        },
      };
      current = run;
      return run;
    },
  };
}
