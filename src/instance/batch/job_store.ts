/**
 * Stores jobs, which are accepted once and ended once. A job's row, its row
 * among the open jobs of its service and the file's count of open jobs change
 * in one transaction.
 */
import {RouterError} from '../../common/errors.js';
import {hashText} from '../../common/ids.js';
import type {Platform} from '../../stores/platform.js';
import type {
  Fields,
  TransactionOutcome,
  WriteOperation,
} from '../../stores/table_store.js';
import {MAX_TRANSACTION_ATTEMPTS} from './constants.js';
import {buildConflictError, type FileStore} from './file_store.js';
import {
  buildFileKey,
  buildJobKey,
  buildJobsPartition,
  buildWorkKey,
  jobRecordSchema,
  parseRow,
  type FileRecord,
  type StoredRecord,
  type JobRecord,
  type WorkRecord,
} from './records.js';

/** A request to create a job. */
export interface JobRequest {
  account: string;
  fileId: string;
  /** If empty, the job id is derived from the request's content. */
  idempotencyKey: string;
  endpoint: string | undefined;
  completionWindow: string;
  /** Wall time in ms. */
  dueAt: number;
  /** JSON object defined by the caller. */
  metadata: string;
  /** Due time as the caller sent it, to recognize a resend. */
  dueRequest: string;
  /** Called before a new job is accepted, but not for a resend. */
  authorize: (file: FileRecord) => Promise<void>;
}

/** How a job ended. */
export interface JobEnd {
  state: 'completed' | 'cancelled';
  completed: number;
  failed: number;
  outputBytes: number;
}

/** Reads and changes jobs. All methods throw RouterError or StoreError. */
export interface JobStore {
  /** Accepts a job, or returns the one that an earlier request created. */
  create(
    request: JobRequest,
    wallNow: number,
  ): Promise<StoredRecord<JobRecord>>;
  find(account: string, jobId: string): Promise<StoredRecord<JobRecord>>;
  list(account: string): Promise<StoredRecord<JobRecord>[]>;
  /** Ends an open job; a job that has ended is returned unchanged. */
  finish(
    account: string,
    jobId: string,
    end: JobEnd,
    wallNow: number,
  ): Promise<StoredRecord<JobRecord>>;
}

/** Creates a store that uses the platform's table. */
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
    file: StoredRecord<FileRecord>,
  ): Promise<TransactionOutcome> {
    const {account, service} = record;
    return table.transact([
      buildPut(buildJobKey(account, jobId), record, 0),
      buildPut(buildWorkKey(service, jobId), toWorkRecord(record), 0),
      buildOpenJobsChange(file, 1),
    ]);
  }

  async function commitEnd(
    job: StoredRecord<JobRecord>,
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
      for (let attempt = 0; attempt < MAX_TRANSACTION_ATTEMPTS; attempt++) {
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
      throw buildConflictError();
    },
    find: getJob,
    async list(account) {
      const rows = await table.query(buildJobsPartition(account));
      return rows
        .map(row => parseRow(row, jobRecordSchema))
        .sort((a, b) => b.record.createdAt - a.record.createdAt);
    },
    async finish(account, jobId, end, wallNow) {
      for (let attempt = 0; attempt < MAX_TRANSACTION_ATTEMPTS; attempt++) {
        const job = await getJob(account, jobId);
        if (job.record.state !== 'in_progress') return job;
        const record = {...job.record, ...end, endedAt: wallNow};
        const outcome = await commitEnd(job, record);
        if (outcome.kind === 'committed') {
          return {id: jobId, version: job.version + 1, record};
        }
      }
      throw buildConflictError();
    },
  };
}

/** Builds a put that expects the row at `version`, or no row if it is 0. */
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
 * Builds a change of the file's count of open jobs. Without the count, deleting
 * a file could leave an accepted job without its items.
 */
function buildOpenJobsChange(
  file: StoredRecord<FileRecord>,
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
  const parts = [fileId, endpoint ?? '', completionWindow, dueRequest];
  return hashText(JSON.stringify([...parts, metadata]));
}

/**
 * Builds the job id from the idempotency key or, without a key, from the
 * content. A job that is resent because its acknowledgement was lost must not
 * run again.
 */
function buildJobId(request: JobRequest, requestHash: string): string {
  const {account, idempotencyKey} = request;
  const name =
    idempotencyKey === '' ? ['content', requestHash] : ['key', idempotencyKey];
  return `batch-${hashText(JSON.stringify([account, ...name]))}`;
}

function checkSameRequest(
  job: StoredRecord<JobRecord>,
  requestHash: string,
): StoredRecord<JobRecord> {
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
