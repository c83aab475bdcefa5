/** A worker's cached view of an open job between two reads of the table. */
import type {StoredRecord, SegmentRecord, WorkRecord} from './records.js';

/** One open job. */
export interface JobView {
  id: string;
  work: WorkRecord;
  /** Segments claimed by any instance, as last read or written. */
  segments: Map<number, StoredRecord<SegmentRecord>>;
  /** Monotonic time of the last read of the segments. */
  refreshedAt: number;
  /** Whether the view may be out of date and has to be read again. */
  isStale: boolean;
  /** Segments that this instance runs. */
  running: Set<number>;
  /** Aborted when the job has ended. */
  ended: AbortController;
  /** Offset from `start` before which no segment is open. */
  cursor: number;
  /** First segment that this instance tries to claim; reduces conflicts. */
  start: number;
}

/** Creates a view that is stale until it is updated. */
export function createJobView(
  id: string,
  work: WorkRecord,
  start: number,
): JobView {
  return {
    id,
    work,
    segments: new Map(),
    refreshedAt: -Infinity,
    isStale: true,
    running: new Set(),
    ended: new AbortController(),
    cursor: 0,
    start: start % work.segments,
  };
}

/** Finds a segment that no instance owns; undefined when there is none. */
export function findOpenSegment(job: JobView): number | undefined {
  for (; job.cursor < job.work.segments; job.cursor++) {
    const index = (job.start + job.cursor) % job.work.segments;
    if (isOpen(job, index)) return index;
  }
  return undefined;
}

function isOpen(job: JobView, index: number): boolean {
  const stored = job.segments.get(index);
  if (job.running.has(index)) return false;
  return stored === undefined || stored.record.state === 'released';
}

/** Lists owned segments that this instance does not run. */
export function listForeignSegments(
  job: JobView,
): [index: number, stored: StoredRecord<SegmentRecord>][] {
  return [...job.segments].filter(
    ([index, {record}]) => record.state === 'owned' && !job.running.has(index),
  );
}

/** Whether all results are committed. */
export function isComplete(job: JobView): boolean {
  if (job.segments.size < job.work.segments) return false;
  return [...job.segments.values()].every(
    ({record}) => record.state === 'done',
  );
}

/** Counts the items without a committed result. */
export function countRemainingItems(job: JobView): number {
  let done = 0;
  for (const {record} of job.segments.values()) done += record.done;
  return job.work.items - done;
}

/** Updates a view with the segments read from the table. */
export function updateView(
  job: JobView,
  segments: Map<number, StoredRecord<SegmentRecord>>,
  now: number,
): void {
  for (const index of job.running) {
    const known = job.segments.get(index);
    const read = segments.get(index);
    // A row that was read before this instance's last write must not replace
    // it.
    if (known && (!read || read.version < known.version)) {
      segments.set(index, known);
    }
  }
  job.segments = segments;
  job.refreshedAt = now;
  job.isStale = false;
  job.cursor = 0;
}
