/** Runs the batch jobs of a scenario; each job keeps a window of items open. */
import type {Clock} from '../common/clock.js';
import type {Scenario, ScenarioBatch} from './scenario_schema.js';
import type {SimulatedRequest, Traffic} from './traffic.js';

const ITEM_DEADLINE_MS = 60_000;
/** Delay until an item that was refused or yielded requests a slot again. */
const RETRY_DELAY_MS = 100;

/** The source of the items of all batch jobs. */
export interface BatchSource {
  start(): void;
  /** Called when the result of the item is committed. */
  finish(item: SimulatedRequest, now: number): void;
  /** Called when the item did not complete; submits it again after a delay. */
  retry(item: SimulatedRequest): void;
  /** Starts no new items, because their results could not reach the store. */
  pause(): void;
  resume(): void;
  /** Returns when the last item of a finite job completed; undefined before. */
  getDoneAt(): number | undefined;
}

/** Creates the source; `submit` requests a slot for an item. */
export function createBatchSource(
  scenario: Scenario,
  clock: Clock,
  traffic: Traffic,
  submit: (item: SimulatedRequest) => void,
): BatchSource {
  const batchByItemId = new Map<string, ScenarioBatch>();
  const openCounts = new Map<ScenarioBatch, number>();
  const remainingCounts = new Map<ScenarioBatch, number>();
  let isPaused = false;
  let doneAt: number | undefined;

  function refillWindow(batch: ScenarioBatch) {
    while (!isPaused && countOpen(batch) < batch.window) {
      const remaining = remainingCounts.get(batch) ?? Infinity;
      if (remaining <= 0) return;
      remainingCounts.set(batch, remaining - 1);
      openCounts.set(batch, countOpen(batch) + 1);
      const item = traffic.generateItem(batch);
      batchByItemId.set(item.id, batch);
      submitItem(item);
    }
  }

  function countOpen(batch: ScenarioBatch): number {
    return openCounts.get(batch) ?? 0;
  }

  function submitItem(item: SimulatedRequest) {
    item.deadline = clock.now() + ITEM_DEADLINE_MS;
    submit(item);
  }

  return {
    start() {
      for (const batch of scenario.batch) {
        if (batch.items !== undefined) remainingCounts.set(batch, batch.items);
        clock.schedule(batch.startMs, () => refillWindow(batch));
      }
    },
    finish(item, now) {
      const batch = batchByItemId.get(item.id)!;
      batchByItemId.delete(item.id);
      openCounts.set(batch, countOpen(batch) - 1);
      if (remainingCounts.get(batch) === 0 && countOpen(batch) === 0)
        doneAt = now;
      refillWindow(batch);
    },
    retry(item) {
      clock.schedule(RETRY_DELAY_MS, () => submitItem(item));
    },
    pause() {
      isPaused = true;
    },
    resume() {
      isPaused = false;
      for (const batch of scenario.batch) refillWindow(batch);
    },
    getDoneAt: () => doneAt,
  };
}
