/** HTTP routes of jobs. */
import {RouterError} from '../../common/errors.js';
import type {CallerDependencies} from '../callers/callers.js';
import {IDEMPOTENCY_HEADER} from '../callers/constants.js';
import {
  parseJsonObject,
  readBody,
  respondJson,
  type HttpExchange,
} from '../callers/http_exchange.js';
import type {Route} from '../callers/routes.js';
import {buildJobAnswer} from './answers.js';
import type {Batch} from './batch.js';
import {authenticateAccount, drawSubmission} from './batch_access.js';
import {MAX_REQUEST_BYTES} from './constants.js';
import {respondOutput} from './file_routes.js';
import {summarizeSegments} from './job_output.js';
import {parseJobRequest} from './job_request.js';
import type {StoredRecord, JobRecord} from './records.js';
import {convertStoreErrors} from './store_failure.js';

const DEFAULT_PAGE = 20;
const MAX_PAGE = 100;

async function handleCreate(
  exchange: HttpExchange,
  dependencies: CallerDependencies,
) {
  const {batch, clock} = dependencies;
  const account = authenticateAccount(exchange, dependencies);
  const body = await readBody(exchange.request, MAX_REQUEST_BYTES);
  const wallNow = clock.wallNow();
  const parsed = parseJobRequest(
    parseJsonObject(body),
    exchange.request.headers[IDEMPOTENCY_HEADER] as string | undefined,
    wallNow,
  );
  const job = await convertStoreErrors(() =>
    batch.jobs.create(
      {
        ...parsed,
        account,
        authorize: ({service}) =>
          drawSubmission(account, service, dependencies),
      },
      wallNow,
    ),
  );
  await respondJob(exchange, batch, job);
}

/**
 * Responds with a job; the counts of an open job are summed from its commits.
 */
async function respondJob(
  exchange: HttpExchange,
  batch: Batch,
  job: StoredRecord<JobRecord>,
) {
  const counts =
    job.record.state === 'in_progress'
      ? await convertStoreErrors(async () =>
          summarizeSegments(await batch.segments.query(job.id)),
        )
      : job.record;
  respondJson(exchange, 200, buildJobAnswer(job, counts));
}

async function handleDescribe(
  exchange: HttpExchange,
  dependencies: CallerDependencies,
) {
  const {batch} = dependencies;
  const account = authenticateAccount(exchange, dependencies);
  const job = await convertStoreErrors(() =>
    batch.jobs.find(account, parseId(exchange)),
  );
  await respondJob(exchange, batch, job);
}

async function handleCancel(
  exchange: HttpExchange,
  dependencies: CallerDependencies,
) {
  const {batch, clock} = dependencies;
  const account = authenticateAccount(exchange, dependencies);
  const id = parseId(exchange);
  const job = await convertStoreErrors(() =>
    cancelJob(batch, account, id, clock.wallNow()),
  );
  if (job.record.state === 'completed') {
    throw new RouterError('conflict', 'the job is completed already', {
      verdict: 'not-run',
      field: 'batch_id',
    });
  }
  await respondJob(exchange, batch, job);
}

/** Cancels a job; a job that has ended is returned unchanged. */
export async function cancelJob(
  batch: Batch,
  account: string,
  jobId: string,
  wallNow: number,
): Promise<StoredRecord<JobRecord>> {
  const summary = summarizeSegments(await batch.segments.query(jobId));
  const {completed, failed} = summary;
  const ended = await batch.jobs.finish(
    account,
    jobId,
    {state: 'cancelled', completed, failed, outputBytes: 0},
    wallNow,
  );
  batch.metrics.countJob(ended.record.state);
  return ended;
}

async function handleList(
  exchange: HttpExchange,
  dependencies: CallerDependencies,
) {
  const {batch} = dependencies;
  const account = authenticateAccount(exchange, dependencies);
  const jobs = await convertStoreErrors(() => batch.jobs.list(account));
  const {page, hasMore} = selectPage(jobs, exchange.query);
  respondJson(exchange, 200, {
    object: 'list',
    // Counts of open jobs are read for single jobs only, not for lists.
    data: page.map(job => buildJobAnswer(job, job.record)),
    first_id: page.at(0)?.id ?? null,
    last_id: page.at(-1)?.id ?? null,
    has_more: hasMore,
  });
}

function selectPage(
  jobs: readonly StoredRecord<JobRecord>[],
  query: URLSearchParams,
): {page: StoredRecord<JobRecord>[]; hasMore: boolean} {
  const limit = parseLimit(query.get('limit'));
  const after = query.get('after');
  const start = after === null ? 0 : jobs.findIndex(({id}) => id === after) + 1;
  if (after !== null && start === 0) {
    throw buildQueryError('after', `there is no job '${after}'`);
  }
  return {
    page: jobs.slice(start, start + limit),
    hasMore: start + limit < jobs.length,
  };
}

function parseLimit(text: string | null): number {
  if (text === null) return DEFAULT_PAGE;
  const limit = Number(text);
  if (Number.isInteger(limit) && limit >= 1 && limit <= MAX_PAGE) return limit;
  throw buildQueryError(
    'limit',
    `must be a whole number from 1 to ${MAX_PAGE}`,
  );
}

function buildQueryError(field: string, message: string): RouterError {
  return new RouterError('invalid_request', `${field}: ${message}`, {
    verdict: 'not-run',
    field,
  });
}

async function handleOutput(
  exchange: HttpExchange,
  dependencies: CallerDependencies,
) {
  const account = authenticateAccount(exchange, dependencies);
  await respondOutput(exchange, dependencies, account, parseId(exchange));
}

function parseId(exchange: HttpExchange): string {
  return exchange.path.split('/')[3];
}

export const JOB_ROUTES: readonly Route[] = [
  {method: 'POST', pattern: /^\/v1\/batches$/, handle: handleCreate},
  {method: 'GET', pattern: /^\/v1\/batches$/, handle: handleList},
  {method: 'GET', pattern: /^\/v1\/batches\/[^/]+$/, handle: handleDescribe},
  {
    method: 'POST',
    pattern: /^\/v1\/batches\/[^/]+\/cancel$/,
    handle: handleCancel,
  },
  {
    method: 'GET',
    pattern: /^\/v1\/batches\/[^/]+\/output$/,
    handle: handleOutput,
  },
];
