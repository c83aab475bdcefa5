/** An open job as a worker sees it between two looks at the table. */
import type {Held, SegmentRecord, WorkRecord} from './records.js';

/** One open job. */
export interface JobView {
  id: string;
  work: WorkRecord;
  /** Segments that were claimed by anybody, as last read or written. */
  segments: Map<number, Held<SegmentRecord>>;
  /** Monotonic time of the last read of the segments. */
  refreshedAt: number;
  /** Set when a write showed that the view is out of date. */
  isStale: boolean;
  /** Segments that this instance works. */
  running: Set<number>;
  /** Aborts when the job has ended. */
  ended: AbortController;
  /** No segment before this one, counted from the start, is open. */
  cursor: number;
  /** Where this instance starts to look: spread, so that claims meet less. */
  start: number;
}

/** A view that has yet to be refreshed. */
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

/** A segment that nobody works; undefined when there is none. */
export function findOpenSegment(job: JobView): number | undefined {
  for (; job.cursor < job.work.segments; job.cursor++) {
    const index = (job.start + job.cursor) % job.work.segments;
    if (isOpen(job, index)) return index;
  }
  return undefined;
}

function isOpen(job: JobView, index: number): boolean {
  const held = job.segments.get(index);
  if (job.running.has(index)) return false;
  return held === undefined || held.record.state === 'released';
}

/** Segments that others own, or that this instance owns but does not work. */
export function listForeignSegments(
  job: JobView,
): [index: number, held: Held<SegmentRecord>][] {
  return [...job.segments].filter(
    ([index, {record}]) => record.state === 'owned' && !job.running.has(index),
  );
}

/** Whether all results are committed. */
export function isWhole(job: JobView): boolean {
  if (job.segments.size < job.work.segments) return false;
  return [...job.segments.values()].every(
    ({record}) => record.state === 'done',
  );
}

/** Items without a committed result. */
export function countRemainingItems(job: JobView): number {
  let done = 0;
  for (const {record} of job.segments.values()) done += record.done;
  return job.work.items - done;
}

/** Takes in what the table holds now. */
export function updateView(
  job: JobView,
  segments: Map<number, Held<SegmentRecord>>,
  now: number,
): void {
  for (const index of job.running) {
    const known = job.segments.get(index);
    const read = segments.get(index);
    // A row read before this instance's last write must not undo it.
    if (known && (!read || read.version < known.version)) {
      segments.set(index, known);
    }
  }
  job.segments = segments;
  job.refreshedAt = now;
  job.isStale = false;
  job.cursor = 0;
}
