/**
 * Stores the owner and the committed results of each segment of a job. A
 * segment is owned by a lease incarnation and an epoch.
 *
 * An owner may be paused beyond its lease, another instance takes the segment
 * over, and then the first owner continues and commits. Without protection,
 * items would have two results and an output could change between two reads.
 *
 * Therefore every write expects the row version that its writer saw last. A
 * takeover writes the row, so later writes of an earlier owner conflict. The
 * lease row is not checked: an owner whose lease has expired may still commit
 * while no other instance has claimed the segment, and the claim then
 * conflicts. This reduces a commit from 3 operations to 2.
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
  type StoredRecord,
  type SegmentRecord,
} from './records.js';

/** Identifies a segment. */
export interface SegmentId {
  account: string;
  jobId: string;
  index: number;
}

/** A segment with the record that its owner wrote last. */
export interface OwnedSegment extends SegmentId {
  version: number;
  record: SegmentRecord;
}

/** Outcome of a write by an owner. */
export type SegmentOutcome =
  | {kind: 'committed'; segment: OwnedSegment}
  /** Another instance owns the segment, or the job has ended. */
  | {kind: 'lost'};

/** Reads and writes segments; all methods throw StoreError. */
export interface SegmentStore {
  /** Reads the claimed segments of a job, by index. */
  query(jobId: string): Promise<Map<number, StoredRecord<SegmentRecord>>>;
  find(segment: SegmentId): Promise<StoredRecord<SegmentRecord> | undefined>;
  /**
   * Writes the next record of a segment; with `version` 0, no row must exist.
   */
  write(
    segment: SegmentId,
    version: number,
    record: SegmentRecord,
  ): Promise<SegmentOutcome>;
}

/** Creates a store that uses the platform's table. */
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
 * Checks in the transaction of a commit that the job is open. A cancelled job
 * accepts no results, and the table orders a concurrent cancel and commit.
 */
function buildOpenJobCheck({account, jobId}: SegmentId): WriteOperation {
  return {
    kind: 'check',
    key: buildJobKey(account, jobId),
    condition: {kind: 'fields', equals: {state: 'in_progress'}},
  };
}
