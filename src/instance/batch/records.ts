/**
 * The rows that batch keeps in the table:
 *
 * | partition         | sort    | row                                        |
 * | ----------------- | ------- | ------------------------------------------ |
 * | `files#ACCOUNT`   | file id | one uploaded bundle                        |
 * | `jobs#ACCOUNT`    | job id  | one job, from acceptance to retention      |
 * | `work#SERVICE`    | job id  | one open job; what workers look through    |
 * | `segments#JOB`    | index   | a segment that was claimed; absent is open |
 */
import * as z from 'zod';
import type {Fields, Row, RowKey} from '../../stores/table_store.js';

/** An uploaded bundle. */
export const fileRecordSchema = z.object({
  account: z.string(),
  /** The service that all of its items ask. */
  service: z.string(),
  /** Path that all of its items ask. */
  endpoint: z.string(),
  filename: z.string(),
  /** Names the objects that hold its segments. */
  upload: z.string(),
  bytes: z.number(),
  items: z.number(),
  segments: z.number(),
  /** Wall time in ms. */
  createdAt: z.number(),
  /** Jobs over it that are not finished; above 0 it may not be deleted. */
  openJobs: z.number(),
});

/** A row of `files#ACCOUNT`. */
export type FileRecord = z.infer<typeof fileRecordSchema>;

/** What a job can be. `in_progress` is the only state that commits results. */
export const jobStateSchema = z.enum(['in_progress', 'completed', 'cancelled']);

/** State of a job. */
export type JobState = z.infer<typeof jobStateSchema>;

/** A row of `jobs#ACCOUNT`. Times are wall time in ms; 0 is not yet. */
export const jobRecordSchema = z.object({
  account: z.string(),
  service: z.string(),
  endpoint: z.string(),
  fileId: z.string(),
  upload: z.string(),
  items: z.number(),
  segments: z.number(),
  /** Digest of what was asked, to tell a resend from another request. */
  requestHash: z.string(),
  completionWindow: z.string(),
  /** JSON object of the caller's own. */
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

/** A row of `work#SERVICE`: what a worker needs to know of an open job. */
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
  /** Incarnation of the lease it is owned through. */
  owner: z.string(),
  /** One more with each owner; results carry it in their names. */
  epoch: z.number(),
  /** Items whose results are committed, from the first. */
  done: z.number(),
  /** Items before this one, from `done`, may have been begun. */
  intent: z.number(),
  /** Owners lost since it last made progress. */
  losses: z.number(),
  /** Progress up to here ends the suspicion that the losses raised. */
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

/** Name of the object that holds a segment's items. */
export function buildItemsName(upload: string, index: number): string {
  return `files/${upload}/${formatIndex(index)}`;
}

/**
 * Name of an object of results. The epoch in it keeps a late owner's object
 * apart from its successor's: without it, the late one would replace results
 * that were committed already.
 */
export function buildResultName(
  jobId: string,
  index: number,
  epoch: number,
  from: number,
): string {
  return `results/${jobId}/${formatIndex(index)}/${epoch}-${from}`;
}

/** Sorts as text as the number does. */
function formatIndex(index: number): string {
  return String(index).padStart(6, '0');
}

/** A segment as a row holds it. */
export function toSegmentFields(segment: SegmentRecord): Fields {
  return {...segment, parts: JSON.stringify(segment.parts)};
}

/** A row with its typed record. */
export interface Held<RecordType> {
  id: string;
  version: number;
  record: RecordType;
}

/** Reads a row's fields by their schema; throws when they do not fit. */
export function parseRow<Schema extends z.ZodType>(
  row: Row,
  schema: Schema,
): Held<z.infer<Schema>> {
  return {
    id: row.key.sort,
    version: row.version,
    record: schema.parse(row.fields),
  };
}
