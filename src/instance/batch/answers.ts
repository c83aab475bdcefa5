/** Files and jobs in the shapes that the OpenAI libraries read. */
import type {FileRecord, Held, JobRecord} from './records.js';

const BATCH_PREFIX = 'batch-';
const OUTPUT_PREFIX = 'file-output-';

/** Items of a job by outcome. */
export interface ItemCounts {
  completed: number;
  failed: number;
}

/** A file, as callers see it. */
export function buildFileAnswer({id, record}: Held<FileRecord>): object {
  return {
    id,
    object: 'file',
    bytes: record.bytes,
    created_at: toSeconds(record.createdAt),
    filename: record.filename,
    purpose: 'batch',
    status: 'processed',
    items: record.items,
  };
}

/** The output of a completed job, as a file. */
export function buildOutputFileAnswer({id, record}: Held<JobRecord>): object {
  return {
    id: toOutputFileId(id),
    object: 'file',
    bytes: record.outputBytes,
    created_at: toSeconds(record.endedAt),
    filename: `${id}.jsonl`,
    purpose: 'batch_output',
    status: 'processed',
    items: record.items,
  };
}

/** A job, as callers see it. */
export function buildJobAnswer(
  {id, record}: Held<JobRecord>,
  {completed, failed}: ItemCounts,
): object {
  const endedAt = toSeconds(record.endedAt);
  const isCompleted = record.state === 'completed';
  return {
    id,
    object: 'batch',
    endpoint: record.endpoint,
    errors: null,
    input_file_id: record.fileId,
    completion_window: record.completionWindow,
    status: record.state,
    output_file_id: isCompleted ? toOutputFileId(id) : null,
    error_file_id: null,
    created_at: toSeconds(record.createdAt),
    in_progress_at: toSeconds(record.createdAt),
    expires_at: toSeconds(record.dueAt),
    completed_at: isCompleted ? endedAt : null,
    cancelled_at: record.state === 'cancelled' ? endedAt : null,
    request_counts: {total: record.items, completed, failed},
    metadata: JSON.parse(record.metadata),
  };
}

/** Id under which the output of a job is read as a file. */
export function toOutputFileId(jobId: string): string {
  return OUTPUT_PREFIX + jobId.slice(BATCH_PREFIX.length);
}

/** The job whose output a file id names; undefined for other files. */
export function findJobOfOutput(fileId: string): string | undefined {
  if (!fileId.startsWith(OUTPUT_PREFIX)) return undefined;
  return BATCH_PREFIX + fileId.slice(OUTPUT_PREFIX.length);
}

function toSeconds(wallMs: number): number {
  return Math.floor(wallMs / 1000);
}
