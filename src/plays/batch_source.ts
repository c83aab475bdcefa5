/** Batch jobs of a play: keeps a window of items asking for slots. */
import type {Clock} from '../common/clock.js';
import type {Play, PlayBatch} from './play_schema.js';
import type {PlayRequest, Traffic} from './traffic.js';

const ITEM_DEADLINE_MS = 60_000;
/** Before an item that was turned away or yielded asks again. */
const ASK_AGAIN_MS = 100;

/** The items of all jobs. */
export interface BatchSource {
  start(): void;
  /** The item's result is committed. */
  finish(item: PlayRequest, now: number): void;
  /** The item did not run to its end and asks again. */
  putBack(item: PlayRequest): void;
  /** Takes no new items: what is committed needs the platform's store. */
  pause(): void;
  resume(): void;
  /** When the last item of a finite job was done; undefined before. */
  getDoneAt(): number | undefined;
}

/** `submit` asks for a slot. */
export function createBatchSource(
  play: Play,
  clock: Clock,
  traffic: Traffic,
  submit: (item: PlayRequest) => void,
): BatchSource {
  const owner = new Map<string, PlayBatch>();
  const open = new Map<PlayBatch, number>();
  const left = new Map<PlayBatch, number>();
  let paused = false;
  let doneAt: number | undefined;

  function pushItems(batch: PlayBatch) {
    while (!paused && countOpen(batch) < batch.window) {
      const rest = left.get(batch) ?? Infinity;
      if (rest <= 0) return;
      left.set(batch, rest - 1);
      open.set(batch, countOpen(batch) + 1);
      const item = traffic.generateItem(batch);
      owner.set(item.id, batch);
      sendItem(item);
    }
  }

  function countOpen(batch: PlayBatch): number {
    return open.get(batch) ?? 0;
  }

  function sendItem(item: PlayRequest) {
    item.deadline = clock.now() + ITEM_DEADLINE_MS;
    submit(item);
  }

  return {
    start() {
      for (const batch of play.batch) {
        if (batch.items !== undefined) left.set(batch, batch.items);
        clock.schedule(batch.startMs, () => pushItems(batch));
      }
    },
    finish(item, now) {
      const batch = owner.get(item.id)!;
      owner.delete(item.id);
      open.set(batch, countOpen(batch) - 1);
      if (left.get(batch) === 0 && countOpen(batch) === 0) doneAt = now;
      pushItems(batch);
    },
    putBack(item) {
      clock.schedule(ASK_AGAIN_MS, () => sendItem(item));
    },
    pause() {
      paused = true;
    },
    resume() {
      paused = false;
      for (const batch of play.batch) pushItems(batch);
    },
    getDoneAt: () => doneAt,
  };
}
