/**
 * Splits a bundle into segments while it is uploaded, and writes each segment
 * as an object. One segment is collected while the previous one is written, so
 * an instance has at most 2 segments in memory regardless of the bundle's size.
 */
import {createHash} from 'node:crypto';
import type {ObjectStore} from '../../stores/object_store.js';
import {MAX_SEGMENT_BYTES, MAX_SEGMENT_ITEMS} from './constants.js';
import {buildItemsName} from './records.js';

/** Totals of a bundle that was written. */
export interface CutBundle {
  items: number;
  segments: number;
  bytes: number;
  /** SHA-256 of the items, one to a line. */
  contentHash: string;
}

/** Writes the items of one bundle in order. */
export interface SegmentCutter {
  addLine(text: string): Promise<void>;
  /** Writes the last segment; throws StoreError if a write failed. */
  finish(): Promise<CutBundle>;
  /** Deletes the written objects. */
  discard(): Promise<void>;
}

/** Creates a cutter; `upload` is part of the names of the objects. */
export function createSegmentCutter(
  objects: ObjectStore,
  upload: string,
  maxItems = MAX_SEGMENT_ITEMS,
): SegmentCutter {
  const digest = createHash('sha256');
  const total = {items: 0, segments: 0, bytes: 0};
  let lines: Buffer[] = [];
  let bufferedBytes = 0;
  let pendingWrite: Promise<void> = Promise.resolve();

  async function writeSegment() {
    const body = Buffer.concat(lines);
    const index = total.segments++;
    lines = [];
    bufferedBytes = 0;
    await pendingWrite;
    pendingWrite = objects.put(buildItemsName(upload, index), body);
    // The next segment awaits this write. Without a handler, a failure before
    // that would be an unhandled rejection.
    pendingWrite.catch(() => {});
  }

  return {
    async addLine(text) {
      const line = Buffer.from(`${text}\n`);
      digest.update(line);
      lines.push(line);
      bufferedBytes += line.length;
      total.items++;
      total.bytes += line.length;
      const isFull =
        lines.length >= maxItems || bufferedBytes >= MAX_SEGMENT_BYTES;
      if (isFull) await writeSegment();
    },
    async finish() {
      if (lines.length > 0) await writeSegment();
      await pendingWrite;
      return {...total, contentHash: digest.digest('hex')};
    },
    async discard() {
      await pendingWrite.catch(() => {});
      await deleteItems(objects, upload, total.segments);
    },
  };
}

/** Deletes the objects of an upload. */
export async function deleteItems(
  objects: ObjectStore,
  upload: string,
  segments: number,
): Promise<void> {
  for (let index = 0; index < segments; index++) {
    await objects.delete(buildItemsName(upload, index));
  }
}
