/**
 * Writes of a segment's owner, carried to a clear outcome however long the
 * store is down.
 *
 * Failure answered: the answer of a write is lost after it took effect.
 * Symptom without this: the owner takes its own commit for another's and drops
 * a committed result, or writes it twice. Reading the row back is enough: only
 * this owner writes records with its epoch, one after another, so a row of the
 * next version with its epoch is its own write.
 */
import type {Clock} from '../../common/clock.js';
import type {ObjectStore} from '../../stores/object_store.js';
import {StoreError} from '../../stores/table_store.js';
import {waitUntilAborted} from './abort.js';
import {STORE_RETRY_MS} from './constants.js';
import type {SegmentRecord} from './records.js';
import type {
  OwnedSegment,
  SegmentOutcome,
  SegmentStore,
} from './segment_store.js';

/** Writes that wait for the store. All end as `lost` when `signal` aborts. */
export interface SegmentWriter {
  writeRecord(
    segment: OwnedSegment,
    next: SegmentRecord,
    signal: AbortSignal,
  ): Promise<SegmentOutcome>;
  /** False when `signal` aborted first. */
  putObject(name: string, body: Buffer, signal: AbortSignal): Promise<boolean>;
  /** Undefined when `signal` aborted first; throws when there is none. */
  getObject(name: string, signal: AbortSignal): Promise<Buffer | undefined>;
}

/** What the writer works with. */
export interface SegmentWriterDependencies {
  clock: Clock;
  objects: ObjectStore;
  segments: SegmentStore;
}

/** Tries again every STORE_RETRY_MS while the store gives no answer. */
export function createSegmentWriter({
  clock,
  objects,
  segments,
}: SegmentWriterDependencies): SegmentWriter {
  async function retryStore<Result>(
    signal: AbortSignal,
    task: () => Promise<Result>,
  ): Promise<Result | undefined> {
    while (!signal.aborted) {
      try {
        return await task();
      } catch (thrown) {
        if (!(thrown instanceof StoreError)) throw thrown;
        await waitUntilAborted(clock, STORE_RETRY_MS, signal);
      }
    }
    return undefined;
  }

  /** Whether `next` is in the table, or the row still is as it was before. */
  async function readBack(
    segment: OwnedSegment,
    next: SegmentRecord,
  ): Promise<SegmentOutcome | 'unwritten'> {
    const held = await segments.find(segment);
    if (held?.version === segment.version) return 'unwritten';
    const isOwn =
      held?.version === segment.version + 1 &&
      held.record.owner === next.owner &&
      held.record.epoch === next.epoch;
    if (!isOwn) return {kind: 'lost'};
    return {
      kind: 'committed',
      segment: {...segment, version: held.version, record: held.record},
    };
  }

  return {
    async writeRecord(segment, next, signal) {
      let isUnclear = false;
      const outcome = await retryStore(signal, async () => {
        if (isUnclear) {
          const found = await readBack(segment, next);
          if (found !== 'unwritten') return found;
        }
        isUnclear = true;
        return segments.write(segment, segment.version, next);
      });
      return outcome ?? {kind: 'lost'};
    },
    async putObject(name, body, signal) {
      const done = await retryStore(signal, async () => {
        await objects.put(name, body);
        return true;
      });
      return done ?? false;
    },
    async getObject(name, signal) {
      return retryStore(signal, async () => {
        const body = await objects.get(name);
        if (body) return body;
        throw new Error(`object ${name} is missing`);
      });
    },
  };
}
