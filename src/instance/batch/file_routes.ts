/** HTTP routes of files. */
import {pipeline} from 'node:stream/promises';
import type {CallerDependencies} from '../callers/callers.js';
import {REQUEST_ID_HEADER} from '../callers/constants.js';
import {
  abortResponse,
  respondJson,
  type HttpExchange,
} from '../callers/http_exchange.js';
import type {Route} from '../callers/routes.js';
import {
  buildFileAnswer,
  buildOutputFileAnswer,
  findJobOfOutput,
} from './answers.js';
import {
  authenticateAccount,
  createTargetFinder,
  drawSubmission,
} from './batch_access.js';
import {openOutput} from './output_access.js';
import {convertStoreErrors} from './store_failure.js';
import {openUpload} from './upload_body.js';

async function handleUpload(
  exchange: HttpExchange,
  dependencies: CallerDependencies,
) {
  const {batch, clock} = dependencies;
  const account = authenticateAccount(exchange, dependencies);
  const {filename, content} = await openUpload(exchange.request);
  const file = await convertStoreErrors(() =>
    batch.files.upload(
      {
        account,
        filename,
        content,
        findTarget: createTargetFinder(account, dependencies),
        authorize: ({service}) =>
          drawSubmission(account, service, dependencies),
      },
      clock.wallNow(),
    ),
  );
  respondJson(exchange, 200, buildFileAnswer(file));
}

async function handleList(
  exchange: HttpExchange,
  dependencies: CallerDependencies,
) {
  const account = authenticateAccount(exchange, dependencies);
  const files = await convertStoreErrors(() =>
    dependencies.batch.files.list(account),
  );
  respondJson(exchange, 200, {
    object: 'list',
    data: files.map(buildFileAnswer),
    has_more: false,
  });
}

async function handleDescribe(
  exchange: HttpExchange,
  dependencies: CallerDependencies,
) {
  const {batch} = dependencies;
  const account = authenticateAccount(exchange, dependencies);
  const id = parseId(exchange);
  const jobId = findJobOfOutput(id);
  const answer = await convertStoreErrors(async () =>
    jobId === undefined
      ? buildFileAnswer(await batch.files.find(account, id))
      : buildOutputFileAnswer((await openOutput(batch, account, jobId)).job),
  );
  respondJson(exchange, 200, answer);
}

async function handleDelete(
  exchange: HttpExchange,
  dependencies: CallerDependencies,
) {
  const account = authenticateAccount(exchange, dependencies);
  const id = parseId(exchange);
  await convertStoreErrors(() => dependencies.batch.files.delete(account, id));
  respondJson(exchange, 200, {id, object: 'file', deleted: true});
}

async function handleContent(
  exchange: HttpExchange,
  dependencies: CallerDependencies,
) {
  const account = authenticateAccount(exchange, dependencies);
  const id = parseId(exchange);
  const jobId = findJobOfOutput(id);
  if (jobId !== undefined) {
    await respondOutput(exchange, dependencies, account, jobId);
    return;
  }
  const {files} = dependencies.batch;
  const {record} = await convertStoreErrors(() => files.find(account, id));
  await streamContent(exchange, record.bytes, files.readContent(record));
}

/** Streams the output of a completed job. */
export async function respondOutput(
  exchange: HttpExchange,
  {batch}: CallerDependencies,
  account: string,
  jobId: string,
): Promise<void> {
  const {job, content} = await convertStoreErrors(() =>
    openOutput(batch, account, jobId),
  );
  await streamContent(exchange, job.record.outputBytes, content);
}

/**
 * Sends the content with its length in the headers, so that a caller detects an
 * incomplete response when the connection is cut off or the store fails.
 */
async function streamContent(
  {response, requestId}: HttpExchange,
  bytes: number,
  content: AsyncIterable<Buffer>,
) {
  response.writeHead(200, {
    'content-type': 'application/jsonl',
    'content-length': bytes,
    [REQUEST_ID_HEADER]: requestId,
  });
  try {
    await pipeline(content, response);
  } catch {
    abortResponse(response);
  }
}

function parseId(exchange: HttpExchange): string {
  return exchange.path.split('/')[3];
}

export const FILE_ROUTES: readonly Route[] = [
  {method: 'POST', pattern: /^\/v1\/files$/, handle: handleUpload},
  {method: 'GET', pattern: /^\/v1\/files$/, handle: handleList},
  {method: 'GET', pattern: /^\/v1\/files\/[^/]+$/, handle: handleDescribe},
  {method: 'DELETE', pattern: /^\/v1\/files\/[^/]+$/, handle: handleDelete},
  {
    method: 'GET',
    pattern: /^\/v1\/files\/[^/]+\/content$/,
    handle: handleContent,
  },
];
