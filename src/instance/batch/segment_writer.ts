/**
 * Retries the writes of a segment's owner until their outcome is known, however
 * long the store is down.
 *
 * The response to a write may be lost after the write took effect. Without this
 * module, the owner would mistake its own commit for another owner's and drop a
 * committed result, or write it twice.
 *
 * It is sufficient to read the row back: only this owner writes records with
 * its epoch, one after another, so a row of the next version with its epoch is
 * its own write.
 */
import type {Clock} from '../../common/clock.js';
import type {ObjectStore} from '../../stores/object_store.js';
import {StoreError} from '../../stores/table_store.js';
import {waitUntilAborted} from './abort.js';
import {STORE_RETRY_DELAY_MS} from './constants.js';
import type {SegmentRecord} from './records.js';
import type {
  OwnedSegment,
  SegmentOutcome,
  SegmentStore,
} from './segment_store.js';

/** Store calls that are retried until they succeed or `signal` aborts. */
export interface SegmentWriter {
  /** The outcome is `lost` when `signal` aborted first. */
  writeRecord(
    segment: OwnedSegment,
    next: SegmentRecord,
    signal: AbortSignal,
  ): Promise<SegmentOutcome>;
  /** False when `signal` aborted first. */
  putObject(name: string, body: Buffer, signal: AbortSignal): Promise<boolean>;
  /**
   * Reads an object of lines, each of which ends with a line feed. Undefined when
   * `signal` aborted first; throws when the object is missing.
   */
  getLines(name: string, signal: AbortSignal): Promise<string[] | undefined>;
}

export interface SegmentWriterDependencies {
  clock: Clock;
  objects: ObjectStore;
  segments: SegmentStore;
}

/**
 * Creates a writer that retries every STORE_RETRY_DELAY_MS after a StoreError.
 */
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
        await waitUntilAborted(clock, STORE_RETRY_DELAY_MS, signal);
      }
    }
    return undefined;
  }

  /** Determines whether `next` was written, was not, or the segment is lost. */
  async function readBack(
    segment: OwnedSegment,
    next: SegmentRecord,
  ): Promise<SegmentOutcome | 'unwritten'> {
    const stored = await segments.find(segment);
    if (stored?.version === segment.version) return 'unwritten';
    const isOwn =
      stored?.version === segment.version + 1 &&
      stored.record.owner === next.owner &&
      stored.record.epoch === next.epoch;
    if (!isOwn) return {kind: 'lost'};
    return {
      kind: 'committed',
      segment: {...segment, version: stored.version, record: stored.record},
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
    async getLines(name, signal) {
      return retryStore(signal, async () => {
        const body = await objects.get(name);
        if (!body) throw new Error(`object ${name} is missing`);
        const lines = body.toString('utf8').split('\n');
        if (lines.pop() === '') return lines;
        throw new StoreError(`object ${name} ends within a line`, 'none');
      });
    },
  };
}
