/**
 * Cuts a bundle into the objects that hold its segments as it streams in. One
 * segment is gathered while the one before it is written, so an instance holds
 * two of them however large the bundle is.
 */
import {createHash} from 'node:crypto';
import type {ObjectStore} from '../../stores/object_store.js';
import {SEGMENT_BYTES, SEGMENT_ITEMS} from './constants.js';
import {buildItemsName} from './records.js';

/** What was written. */
export interface CutBundle {
  items: number;
  segments: number;
  bytes: number;
  /** SHA-256 of the items, one to a line. */
  contentHash: string;
}

/** Takes the items of one bundle in order. */
export interface SegmentCutter {
  addLine(text: string): Promise<void>;
  /** Writes what is left; throws StoreError when any write got no answer. */
  finish(): Promise<CutBundle>;
  /** Deletes what was written. */
  discard(): Promise<void>;
}

/** `upload` names the objects. */
export function createSegmentCutter(
  objects: ObjectStore,
  upload: string,
  maxItems = SEGMENT_ITEMS,
): SegmentCutter {
  const digest = createHash('sha256');
  const total = {items: 0, segments: 0, bytes: 0};
  let lines: Buffer[] = [];
  let gathered = 0;
  let writing: Promise<void> = Promise.resolve();

  async function writeSegment() {
    const body = Buffer.concat(lines);
    const index = total.segments++;
    lines = [];
    gathered = 0;
    await writing;
    writing = objects.put(buildItemsName(upload, index), body);
    // Awaited by the next segment; a failure until then is not unhandled.
    writing.catch(() => {});
  }

  return {
    async addLine(text) {
      const line = Buffer.from(`${text}\n`);
      digest.update(line);
      lines.push(line);
      gathered += line.length;
      total.items++;
      total.bytes += line.length;
      const isFull = lines.length >= maxItems || gathered >= SEGMENT_BYTES;
      if (isFull) await writeSegment();
    },
    async finish() {
      if (lines.length > 0) await writeSegment();
      await writing;
      return {...total, contentHash: digest.digest('hex')};
    },
    async discard() {
      await writing.catch(() => {});
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
