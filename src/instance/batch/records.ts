/**
 * Schemas and keys of the rows of batch jobs in the table:
 *
 * | partition         | sort    | row                                        |
 * | ----------------- | ------- | ------------------------------------------ |
 * | `files#ACCOUNT`   | file id | one uploaded bundle                        |
 * | `jobs#ACCOUNT`    | job id  | one job, from acceptance to retention      |
 * | `work#SERVICE`    | job id  | one open job, read by the workers          |
 * | `segments#JOB`    | index   | one claimed segment; no row if unclaimed   |
 */
import * as z from 'zod';
import type {Fields, Row, RowKey} from '../../stores/table_store.js';

/** An uploaded bundle. */
export const fileRecordSchema = z.object({
  account: z.string(),
  /** The service to which all items are sent. */
  service: z.string(),
  /** The request path of all items. */
  endpoint: z.string(),
  filename: z.string(),
  /** Part of the names of the objects that contain the segments. */
  upload: z.string(),
  bytes: z.number(),
  items: z.number(),
  segments: z.number(),
  /** Wall time in ms. */
  createdAt: z.number(),
  /** Number of open jobs on the file. It may be deleted only at 0. */
  openJobs: z.number(),
});

/** A row of `files#ACCOUNT`. */
export type FileRecord = z.infer<typeof fileRecordSchema>;

/** State of a job. Results are committed only in state `in_progress`. */
export const jobStateSchema = z.enum(['in_progress', 'completed', 'cancelled']);

/** Type of the schema of the same name. */
export type JobState = z.infer<typeof jobStateSchema>;

/** A row of `jobs#ACCOUNT`. Times are wall time in ms; 0 means not yet. */
export const jobRecordSchema = z.object({
  account: z.string(),
  service: z.string(),
  endpoint: z.string(),
  fileId: z.string(),
  upload: z.string(),
  items: z.number(),
  segments: z.number(),
  /** Digest of the request, to distinguish a resend from another request. */
  requestHash: z.string(),
  completionWindow: z.string(),
  /** JSON object defined by the caller. */
  metadata: z.string(),
  state: jobStateSchema,
  createdAt: z.number(),
  dueAt: z.number(),
  endedAt: z.number(),
  completed: z.number(),
  failed: z.number(),
  outputBytes: z.number(),
});

/** A row of `jobs#ACCOUNT`. */
export type JobRecord = z.infer<typeof jobRecordSchema>;

/** A row of `work#SERVICE`: what a worker needs of an open job. */
export const workRecordSchema = z.object({
  account: z.string(),
  upload: z.string(),
  items: z.number(),
  segments: z.number(),
  createdAt: z.number(),
  dueAt: z.number(),
});

/** A row of `work#SERVICE`. */
export type WorkRecord = z.infer<typeof workRecordSchema>;

/** One committed object of results. */
export const resultPartSchema = z.object({
  object: z.string(),
  items: z.number(),
  bytes: z.number(),
  completed: z.number(),
  failed: z.number(),
});

/** One committed object of results. */
export type ResultPart = z.infer<typeof resultPartSchema>;

/** A row of `segments#JOB`. */
export const segmentRecordSchema = z.object({
  state: z.enum(['owned', 'released', 'done']),
  /** Incarnation of the lease through which the segment is owned. */
  owner: z.string(),
  /** Incremented with each owner; part of the names of result objects. */
  epoch: z.number(),
  /** Number of leading items whose results are committed. */
  done: z.number(),
  /** Items from `done` up to this index (exclusive) may have been started. */
  intent: z.number(),
  /** Number of owners lost since the segment last made progress. */
  losses: z.number(),
  /** When `done` reaches this index, `losses` is reset. */
  suspectEnd: z.number(),
  /** JSON list of result parts, in order. */
  parts: z.string().transform((text, context) => {
    const parsed = z.array(resultPartSchema).safeParse(JSON.parse(text));
    if (parsed.success) return parsed.data;
    context.addIssue({code: 'custom', message: 'is no list of parts'});
    return z.NEVER;
  }),
});

/** A row of `segments#JOB`. */
export type SegmentRecord = z.infer<typeof segmentRecordSchema>;

/** Key of a file's row. */
export function buildFileKey(account: string, fileId: string): RowKey {
  return {partition: `files#${account}`, sort: fileId};
}

/** Key of a job's row. */
export function buildJobKey(account: string, jobId: string): RowKey {
  return {partition: buildJobsPartition(account), sort: jobId};
}

/** Partition of an account's jobs. */
export function buildJobsPartition(account: string): string {
  return `jobs#${account}`;
}

/** Key of an open job's row. */
export function buildWorkKey(service: string, jobId: string): RowKey {
  return {partition: buildWorkPartition(service), sort: jobId};
}

/** Partition of a service's open jobs. */
export function buildWorkPartition(service: string): string {
  return `work#${service}`;
}

/** Partition of a job's segments. */
export function buildSegmentsPartition(jobId: string): string {
  return `segments#${jobId}`;
}

/** Key of a segment's row. */
export function buildSegmentKey(jobId: string, index: number): RowKey {
  return {
    partition: buildSegmentsPartition(jobId),
    sort: formatIndex(index),
  };
}

/** Name of the object that contains a segment's items. */
export function buildItemsName(upload: string, index: number): string {
  return `files/${upload}/${formatIndex(index)}`;
}

/**
 * Name of a result object. It contains the epoch, so that an object that an
 * earlier owner writes late does not replace the committed results of its
 * successor.
 */
export function buildResultName(
  jobId: string,
  index: number,
  epoch: number,
  from: number,
): string {
  return `results/${jobId}/${formatIndex(index)}/${epoch}-${from}`;
}

/** Pads an index so that names sort in numeric order. */
function formatIndex(index: number): string {
  return String(index).padStart(6, '0');
}

/** Converts a segment to the fields of its row. */
export function toSegmentFields(segment: SegmentRecord): Fields {
  return {...segment, parts: JSON.stringify(segment.parts)};
}

/** A typed record with the id and version of its row. */
export interface StoredRecord<RecordType> {
  id: string;
  version: number;
  record: RecordType;
}

/** Parses a row's fields by a schema; throws when they do not fit. */
export function parseRow<Schema extends z.ZodType>(
  row: Row,
  schema: Schema,
): StoredRecord<z.infer<Schema>> {
  return {
    id: row.key.sort,
    version: row.version,
    record: schema.parse(row.fields),
  };
}
