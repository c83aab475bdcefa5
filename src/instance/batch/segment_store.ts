/**
 * Segments of jobs: who works them and what is committed of them. A segment
 * is owned by (lease incarnation, epoch).
 *
 * Failure answered: an owner is paused past its lease, another takes over, and
 * the first wakes and commits. Symptom: items answered twice, an output that
 * changes between two reads. Every write expects the row's version that its
 * writer saw last; taking over writes the row, so whatever an owner from
 * before tries to write conflicts. The lease row need not be checked too: an
 * owner whose lease was expired but whose segment nobody has claimed yet may
 * well commit, and the claim then conflicts. Without that check, a commit is
 * two operations in place of three.
 */
import type {Platform} from '../../stores/platform.js';
import type {WriteOperation} from '../../stores/table_store.js';
import {
  buildJobKey,
  buildSegmentKey,
  buildSegmentsPartition,
  parseRow,
  segmentRecordSchema,
  toSegmentFields,
  type Held,
  type SegmentRecord,
} from './records.js';

/** Which segment. */
export interface SegmentId {
  account: string;
  jobId: string;
  index: number;
}

/** A segment as its owner holds it. */
export interface OwnedSegment extends SegmentId {
  version: number;
  record: SegmentRecord;
}

/** How a write of an owner ended. */
export type SegmentOutcome =
  | {kind: 'committed'; segment: OwnedSegment}
  /** Another owns it, or the job has ended. */
  | {kind: 'lost'};

/** Reads and writes segments; all methods throw StoreError. */
export interface SegmentStore {
  /** The segments of a job that were claimed, by index. */
  query(jobId: string): Promise<Map<number, Held<SegmentRecord>>>;
  find(segment: SegmentId): Promise<Held<SegmentRecord> | undefined>;
  /** Writes the next record of a segment; `version` 0 expects no row. */
  write(
    segment: SegmentId,
    version: number,
    record: SegmentRecord,
  ): Promise<SegmentOutcome>;
}

/** Keeps segments in the platform's table. */
export function createSegmentStore({table}: Platform): SegmentStore {
  return {
    async query(jobId) {
      const rows = await table.query(buildSegmentsPartition(jobId));
      return new Map(
        rows.map(row => [
          Number(row.key.sort),
          parseRow(row, segmentRecordSchema),
        ]),
      );
    },
    async find({jobId, index}) {
      const row = await table.get(buildSegmentKey(jobId, index));
      return row && parseRow(row, segmentRecordSchema);
    },
    async write(segment, version, record) {
      const outcome = await table.transact([
        {
          kind: 'put',
          key: buildSegmentKey(segment.jobId, segment.index),
          fields: toSegmentFields(record),
          condition:
            version === 0 ? {kind: 'absent'} : {kind: 'version', version},
        },
        buildOpenJobCheck(segment),
      ]);
      if (outcome.kind === 'conflict') return {kind: 'lost'};
      const {account, jobId, index} = segment;
      return {
        kind: 'committed',
        segment: {account, jobId, index, version: version + 1, record},
      };
    },
  };
}

/**
 * A cancelled job takes no more results: its row is checked in the same
 * transaction, so the table orders a cancel and a commit that race.
 */
function buildOpenJobCheck({account, jobId}: SegmentId): WriteOperation {
  return {
    kind: 'check',
    key: buildJobKey(account, jobId),
    condition: {kind: 'fields', equals: {state: 'in_progress'}},
  };
}
