/** Builds responses for files and jobs in the format of the OpenAI API. */
import type {FileRecord, StoredRecord, JobRecord} from './records.js';

const BATCH_PREFIX = 'batch-';
const OUTPUT_PREFIX = 'file-output-';

/** Numbers of items of a job by outcome. */
export interface ItemCounts {
  completed: number;
  failed: number;
}

/** Builds the response for a file. */
export function buildFileAnswer({
  id,
  record,
}: StoredRecord<FileRecord>): object {
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

/** Builds the response for the output file of a completed job. */
export function buildOutputFileAnswer({
  id,
  record,
}: StoredRecord<JobRecord>): object {
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

/** Builds the response for a job. */
export function buildJobAnswer(
  {id, record}: StoredRecord<JobRecord>,
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

/** Converts a job id to the id of its output file. */
export function toOutputFileId(jobId: string): string {
  return OUTPUT_PREFIX + jobId.slice(BATCH_PREFIX.length);
}

/** Finds the job id of an output file id; undefined for other files. */
export function findJobOfOutput(fileId: string): string | undefined {
  if (!fileId.startsWith(OUTPUT_PREFIX)) return undefined;
  return BATCH_PREFIX + fileId.slice(OUTPUT_PREFIX.length);
}

function toSeconds(wallMs: number): number {
  return Math.floor(wallMs / 1000);
}
