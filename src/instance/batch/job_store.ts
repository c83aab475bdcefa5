/**
 * Jobs: accepted once, ended once. A job's row, its row among the open jobs
 * of its service and its hold on the file change in one transaction.
 */
import {RouterError} from '../../common/errors.js';
import {hashText} from '../../common/ids.js';
import type {Platform} from '../../stores/platform.js';
import type {
  Fields,
  TransactionOutcome,
  WriteOperation,
} from '../../stores/table_store.js';
import {MAX_RACES} from './constants.js';
import {refuseRace, type FileStore} from './file_store.js';
import {
  buildFileKey,
  buildJobKey,
  buildJobsPartition,
  buildWorkKey,
  jobRecordSchema,
  parseRow,
  type FileRecord,
  type Held,
  type JobRecord,
  type WorkRecord,
} from './records.js';

/** What a caller asks for. */
export interface JobRequest {
  account: string;
  fileId: string;
  /** Empty: the request's content names the job. */
  idempotencyKey: string;
  endpoint: string | undefined;
  completionWindow: string;
  /** Wall time in ms. */
  dueAt: number;
  /** JSON object of the caller's own. */
  metadata: string;
  /** What the caller sent of the due time, to compare resends by. */
  dueRequest: string;
  /** Called before a new job is accepted; a resend is not charged again. */
  authorize: (file: FileRecord) => Promise<void>;
}

/** How a job ended. */
export interface JobEnd {
  state: 'completed' | 'cancelled';
  completed: number;
  failed: number;
  outputBytes: number;
}

/** The jobs. All methods throw RouterError or StoreError. */
export interface JobStore {
  /** Accepts a job, or finds the one that an earlier sending made. */
  create(request: JobRequest, wallNow: number): Promise<Held<JobRecord>>;
  find(account: string, jobId: string): Promise<Held<JobRecord>>;
  list(account: string): Promise<Held<JobRecord>[]>;
  /** Ends an open job; one that has ended is returned as it is. */
  finish(
    account: string,
    jobId: string,
    end: JobEnd,
    wallNow: number,
  ): Promise<Held<JobRecord>>;
}

/** Keeps jobs in the platform's table. */
export function createJobStore({table}: Platform, files: FileStore): JobStore {
  async function findJob(account: string, jobId: string) {
    const row = await table.get(buildJobKey(account, jobId));
    return row && parseRow(row, jobRecordSchema);
  }

  async function getJob(account: string, jobId: string) {
    const job = await findJob(account, jobId);
    if (job) return job;
    throw new RouterError('not_found', `there is no job '${jobId}'`, {
      verdict: 'not-run',
      field: 'batch_id',
    });
  }

  async function commitJob(
    jobId: string,
    record: JobRecord,
    file: Held<FileRecord>,
  ): Promise<TransactionOutcome> {
    const {account, service} = record;
    return table.transact([
      buildPut(buildJobKey(account, jobId), record, 0),
      buildPut(buildWorkKey(service, jobId), toWorkRecord(record), 0),
      buildOpenJobsChange(file, 1),
    ]);
  }

  async function commitEnd(
    job: Held<JobRecord>,
    record: JobRecord,
  ): Promise<TransactionOutcome> {
    const {account, service, fileId} = record;
    const file = await files.find(account, fileId);
    return table.transact([
      buildPut(buildJobKey(account, job.id), record, job.version),
      {
        kind: 'delete',
        key: buildWorkKey(service, job.id),
        condition: {kind: 'fields', equals: {account}},
      },
      buildOpenJobsChange(file, -1),
    ]);
  }

  return {
    async create(request, wallNow) {
      const requestHash = hashRequest(request);
      const jobId = buildJobId(request, requestHash);
      let isAuthorized = false;
      for (let race = 0; race < MAX_RACES; race++) {
        const found = await findJob(request.account, jobId);
        if (found) return checkSameRequest(found, requestHash);
        const file = await files.find(request.account, request.fileId);
        checkEndpoint(request, file.record);
        if (!isAuthorized) await request.authorize(file.record);
        isAuthorized = true;
        const record = buildJob(request, file.record, requestHash, wallNow);
        const outcome = await commitJob(jobId, record, file);
        if (outcome.kind === 'committed')
          return {id: jobId, version: 1, record};
      }
      throw refuseRace();
    },
    find: getJob,
    async list(account) {
      const rows = await table.query(buildJobsPartition(account));
      return rows
        .map(row => parseRow(row, jobRecordSchema))
        .sort((a, b) => b.record.createdAt - a.record.createdAt);
    },
    async finish(account, jobId, end, wallNow) {
      for (let race = 0; race < MAX_RACES; race++) {
        const job = await getJob(account, jobId);
        if (job.record.state !== 'in_progress') return job;
        const record = {...job.record, ...end, endedAt: wallNow};
        const outcome = await commitEnd(job, record);
        if (outcome.kind === 'committed') {
          return {id: jobId, version: job.version + 1, record};
        }
      }
      throw refuseRace();
    },
  };
}

/** A put that expects the row at `version`; 0 expects none. */
function buildPut(
  key: WriteOperation['key'],
  fields: Fields,
  version: number,
): WriteOperation {
  return {
    kind: 'put',
    key,
    fields: {...fields},
    condition: version === 0 ? {kind: 'absent'} : {kind: 'version', version},
  };
}

/**
 * A file with open jobs is not deleted: without the count, deleting it would
 * leave an accepted job whose items are gone.
 */
function buildOpenJobsChange(
  file: Held<FileRecord>,
  change: 1 | -1,
): WriteOperation {
  const {record, id, version} = file;
  return buildPut(
    buildFileKey(record.account, id),
    {...record, openJobs: record.openJobs + change},
    version,
  );
}

function hashRequest(request: JobRequest): string {
  const {fileId, endpoint, completionWindow, dueRequest, metadata} = request;
  const asked = [fileId, endpoint ?? '', completionWindow, dueRequest];
  return hashText(JSON.stringify([...asked, metadata]));
}

/**
 * Without a key, the content names the job: a whole job that is sent again
 * because its acknowledgement was lost must not be run again.
 */
function buildJobId(request: JobRequest, requestHash: string): string {
  const {account, idempotencyKey} = request;
  const name =
    idempotencyKey === '' ? ['content', requestHash] : ['key', idempotencyKey];
  return `batch-${hashText(JSON.stringify([account, ...name]))}`;
}

function checkSameRequest(
  job: Held<JobRecord>,
  requestHash: string,
): Held<JobRecord> {
  if (job.record.requestHash === requestHash) return job;
  throw new RouterError(
    'conflict',
    `the idempotency key names '${job.id}', which was asked for with other content`,
    {verdict: 'not-run', field: 'idempotency-key'},
  );
}

function checkEndpoint(request: JobRequest, file: FileRecord) {
  if (request.endpoint === undefined) return;
  if (request.endpoint === file.endpoint) return;
  throw new RouterError(
    'invalid_request',
    `the items of the file are for '${file.endpoint}'`,
    {verdict: 'not-run', field: 'endpoint'},
  );
}

function buildJob(
  request: JobRequest,
  file: FileRecord,
  requestHash: string,
  wallNow: number,
): JobRecord {
  return {
    account: request.account,
    service: file.service,
    endpoint: file.endpoint,
    fileId: request.fileId,
    upload: file.upload,
    items: file.items,
    segments: file.segments,
    requestHash,
    completionWindow: request.completionWindow,
    metadata: request.metadata,
    state: 'in_progress',
    createdAt: wallNow,
    dueAt: request.dueAt,
    endedAt: 0,
    completed: 0,
    failed: 0,
    outputBytes: 0,
  };
}

function toWorkRecord(job: JobRecord): WorkRecord {
  const {account, upload, items, segments, createdAt, dueAt} = job;
  return {account, upload, items, segments, createdAt, dueAt};
}
