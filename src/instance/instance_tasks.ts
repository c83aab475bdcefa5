/** Spawns the periodic tasks of an instance. */
import {
  spawnPeriodicTask,
  type ActorSystem,
  type PeriodicTask,
} from '../common/actor.js';
import type {Clock} from '../common/clock.js';
import {StoreError} from '../stores/table_store.js';

/** One periodic task. */
export interface TaskDescription {
  /** Name of its actor. */
  name: string;
  /** Pause between two runs, in ms. */
  everyMs: number;
  run(): void | Promise<void>;
}

/**
 * Spawns an actor for each task. A StoreError does not crash the actor: it is
 * counted where the store was called, and the next run tries again.
 */
export function spawnTasks(
  system: ActorSystem,
  clock: Clock,
  descriptions: readonly TaskDescription[],
): PeriodicTask[] {
  return descriptions.map(({name, everyMs, run}) =>
    spawnPeriodicTask(system, clock, name, everyMs, async () => {
      try {
        await run();
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
      }
    }),
  );
}
