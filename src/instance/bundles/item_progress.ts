/**
 * What was done of items that are not listed yet, kept outside the instance
 * that does it.
 *
 * When all instances die at once, what items have so far is in memory only:
 * every item that ran would begin anew, and be late. Kept now and then, at most
 * PROGRESS_EVENTS of each are made again.
 */
import * as z from 'zod';
import type {Log} from '../../common/log.js';
import {StoreError} from '../../stores/table_store.js';
import type {BundleRun} from './bundle_run.js';
import type {BundleStore} from './bundle_store.js';
import {PROGRESS_EVENTS} from './constants.js';

const itemProgressSchema = z.object({
  /** Id of the last whole event. */
  lastId: z.string().optional(),
  /** Data of the whole events. */
  pieces: z.array(z.string()),
  /** Whether its text is whole and only its listing is missing. */
  isWhole: z.boolean().optional(),
});

const bundleProgressSchema = z.record(z.string(), itemProgressSchema);

/** By the index of the item. */
export type BundleProgress = z.infer<typeof bundleProgressSchema>;

/** Progress as it is kept. */
export function encodeProgress(progress: BundleProgress): string {
  return JSON.stringify(progress);
}

/** Keeps and finds progress. */
export interface ProgressKeeper {
  /** Keeps a run's progress once there is enough more of it. */
  keep(run: BundleRun): Promise<void>;
  /** What the owner before kept; undefined where nothing can be read. */
  find(id: string): Promise<BundleProgress | undefined>;
}

/** Starts with nothing kept. */
export function createProgressKeeper(
  store: Pick<BundleStore, 'putProgress' | 'fetchProgress'>,
  log: Log,
): ProgressKeeper {
  /** Events of each run when its progress was last kept. */
  const keptEvents = new WeakMap<BundleRun, number>();

  function decodeProgress(id: string, text: string) {
    try {
      return bundleProgressSchema.parse(JSON.parse(text));
    } catch (error) {
      log.warn({bundle: id, err: String(error)}, 'progress not readable');
      return undefined;
    }
  }

  return {
    async keep(run) {
      const events = run.countEvents();
      const kept = keptEvents.get(run) ?? 0;
      if (Math.abs(events - kept) < PROGRESS_EVENTS) return;
      keptEvents.set(run, events);
      try {
        await store.putProgress(run.id, run.exportProgress());
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
        log.warn({bundle: run.id, err: error.message}, 'progress not kept');
      }
    },
    async find(id) {
      // Without it the items begin anew, which costs less than waiting for it.
      try {
        const text = await store.fetchProgress(id);
        return text === undefined ? undefined : decodeProgress(id, text);
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
        log.warn({bundle: id, err: error.message}, 'progress not read');
        return undefined;
      }
    },
  };
}
