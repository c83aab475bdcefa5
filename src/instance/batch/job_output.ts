/** Output of a job, and the sums over its segments. */
import type {ObjectStore} from '../../stores/object_store.js';
import type {StoredRecord, ResultPart, SegmentRecord} from './records.js';

/** Sums over committed results. */
export interface SegmentSummary {
  items: number;
  completed: number;
  failed: number;
  bytes: number;
}

/** Sums the committed results of a job. */
export function summarizeSegments(
  segments: ReadonlyMap<number, StoredRecord<SegmentRecord>>,
): SegmentSummary {
  const sum = {items: 0, completed: 0, failed: 0, bytes: 0};
  for (const {record} of segments.values()) {
    for (const part of record.parts) {
      sum.items += part.items;
      sum.completed += part.completed;
      sum.failed += part.failed;
      sum.bytes += part.bytes;
    }
  }
  return sum;
}

/** Lists all result parts in the order of the items. */
export function listParts(
  segments: ReadonlyMap<number, StoredRecord<SegmentRecord>>,
): ResultPart[] {
  return [...segments.keys()]
    .sort((a, b) => a - b)
    .flatMap(index => segments.get(index)!.record.parts);
}

/**
 * Reads the objects of `parts` in order, with one in memory at a time. Throws if one is
 * missing or not whole.
 */
export async function* readParts(
  objects: ObjectStore,
  parts: readonly ResultPart[],
): AsyncGenerator<Buffer> {
  for (const {object, bytes} of parts) {
    const body = await objects.get(object);
    if (!body) throw new Error(`result ${object} is missing`);
    if (body.length !== bytes)
      throw new Error(`result ${object} has ${body.length} of ${bytes} bytes`);
    yield body;
  }
}
