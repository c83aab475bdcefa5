/**
 * Stores the progress of items that are not listed yet.
 *
 * The text received so far is in the memory of the owner. If all instances
 * crash at once without stored progress, every running item starts again from
 * its first event and is late. With progress stored from time to time, at most
 * about PROGRESS_INTERVAL_EVENTS events of a bundle are generated again.
 */
import * as z from 'zod';
import type {Log} from '../../common/log.js';
import {StoreError} from '../../stores/table_store.js';
import type {BundleRun} from './bundle_run.js';
import type {BundleStore} from './bundle_store.js';
import {PROGRESS_INTERVAL_EVENTS} from './constants.js';

const itemProgressSchema = z.object({
  /** Id of the last complete event. */
  lastId: z.string().optional(),
  /** Data of the complete events. */
  pieces: z.array(z.string()),
  /** Where the text began. */
  start: z
    .object({service: z.string(), version: z.string().optional()})
    .optional(),
  /** Whether the text is complete and the item only has to be listed. */
  isWhole: z.boolean().optional(),
  /** Responses of endpoints that ran the item and failed; absent if there was none. */
  failures: z.number().optional(),
  /** Runs in a row that were cut off without a new event; absent if there was none. */
  fruitless: z.number().optional(),
  /** Whether the item was given up and only has to be listed. */
  isGivenUp: z.boolean().optional(),
});

const bundleProgressSchema = z.record(z.string(), itemProgressSchema);

/** Progress of the items of a bundle, by item index. */
export type BundleProgress = z.infer<typeof bundleProgressSchema>;

/** Encodes progress for storage. */
export function encodeProgress(progress: BundleProgress): string {
  return JSON.stringify(progress);
}

/** Stores and fetches the progress of bundles. */
export interface ProgressStore {
  /**
   * Stores a run's progress if it has PROGRESS_INTERVAL_EVENTS more than last
   * time.
   */
  save(run: BundleRun): Promise<void>;
  /**
   * Stores encoded progress. A failure is only logged: without progress the items start
   * again.
   */
  put(id: string, progress: string): Promise<void>;
  /**
   * Fetches the progress that the last owner stored; undefined if unreadable.
   */
  find(id: string): Promise<BundleProgress | undefined>;
}

export function createProgressStore(
  store: Pick<BundleStore, 'putProgress' | 'fetchProgress'>,
  log: Log,
): ProgressStore {
  /** Number of events of each run when its progress was last stored. */
  const storedEvents = new WeakMap<BundleRun, number>();

  function decodeProgress(id: string, text: string) {
    try {
      return bundleProgressSchema.parse(JSON.parse(text));
    } catch (error) {
      log.warn(
        {bundle: id, err: String(error)},
        'stored progress of the bundle cannot be decoded',
      );
      return undefined;
    }
  }

  async function put(id: string, progress: string) {
    try {
      await store.putProgress(id, progress);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      log.warn(
        {bundle: id, bytes: Buffer.byteLength(progress), err: error.message},
        'progress of the bundle not stored',
      );
    }
  }

  return {
    put,
    async save(run) {
      const events = run.countEvents();
      const stored = storedEvents.get(run) ?? 0;
      if (Math.abs(events - stored) < PROGRESS_INTERVAL_EVENTS) return;
      storedEvents.set(run, events);
      await put(run.id, run.exportProgress());
    },
    async find(id) {
      // Without progress the items start again, which costs less than waiting
      // for the store.
      try {
        const text = await store.fetchProgress(id);
        return text === undefined ? undefined : decodeProgress(id, text);
      } catch (error) {
        if (!(error instanceof StoreError)) throw error;
        log.warn(
          {bundle: id, err: error.message},
          'progress of the bundle not fetched; items start again',
        );
        return undefined;
      }
    },
  };
}
