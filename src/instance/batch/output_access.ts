/** Opens the output of a job. Only completed jobs have an output. */
import {RouterError} from '../../common/errors.js';
import type {Batch} from './batch.js';
import {listParts} from './job_output.js';
import type {StoredRecord, JobRecord} from './records.js';

/** The output of a completed job. */
export interface JobOutput {
  job: StoredRecord<JobRecord>;
  /** One line for each item, in the order of the bundle. */
  content: AsyncGenerator<Buffer>;
}

/** Throws RouterError for a job that is not completed, and StoreError. */
export async function openOutput(
  batch: Batch,
  account: string,
  jobId: string,
): Promise<JobOutput> {
  const job = await batch.jobs.find(account, jobId);
  if (job.record.state !== 'completed') {
    throw new RouterError(
      'not_found',
      `the job is ${job.record.state}; an output is there when it is completed`,
      {verdict: 'not-run', field: 'output_file_id'},
    );
  }
  const parts = listParts(await batch.segments.query(jobId));
  return {job, content: batch.readParts(parts)};
}
