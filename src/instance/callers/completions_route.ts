/** Handles completions, streamed or as one JSON response. */
import type {RouterError} from '../../common/errors.js';
import {toRouterError, buildErrorBody} from '../../common/errors.js';
import {computeRequestPrefixes} from '../../common/prompt_prefix.js';
import type {VersionedDocument} from '../configuration/configuration.js';
import type {EndpointEvent} from '../endpoints/endpoint_adapter.js';
import {collectCompletion} from '../execution/completions.js';
import type {ExecutionRequest} from '../execution/execution.js';
import {
  acquireToken,
  authenticateCaller,
  buildKeyCheck,
  checkBodySize,
  findServiceOfModel,
  listServicesOfAccount,
  parseDeadline,
  selectForwardedHeaders,
} from './admission.js';
import {
  buildEngineBody,
  estimateSizes,
  parseCompletion,
} from './completion_request.js';
import {createAnswerWriter} from './answer_writer.js';
import type {CallerDependencies} from './callers.js';
import {REQUEST_ID_HEADER, VERDICT_HEADER} from './constants.js';
import {
  readBody,
  respondBytes,
  respondJson,
  type HttpExchange,
} from './http_exchange.js';

const END_EVENT = 'data: [DONE]\n\n';

/** Runs one completion and sends its response. */
export async function handleCompletion(
  exchange: HttpExchange,
  dependencies: CallerDependencies,
): Promise<void> {
  const {configuration, keys, clock, execution} = dependencies;
  const owner = authenticateCaller(exchange.request, keys, clock.now());
  const body = await readBody(
    exchange.request,
    findBodyLimit(listServicesOfAccount(configuration, owner.account)),
  );
  const completion = parseCompletion(body, exchange.path);
  const service = findServiceOfModel(
    configuration,
    owner.account,
    completion.model,
  );
  checkBodySize(body, service);
  const deadline = parseDeadline(exchange.request, service, clock.now());
  await acquireToken(dependencies.limits, service, owner);
  const request: ExecutionRequest = {
    requestId: exchange.requestId,
    service,
    account: owner.account,
    workClass: 'online',
    method: 'POST',
    path: exchange.path,
    headers: selectForwardedHeaders(exchange.request),
    body: buildEngineBody(completion, body),
    model: completion.model,
    deadline,
    ...estimateSizes(completion, body, dependencies.answerLengths),
    prefixHashes: computeRequestPrefixes(completion),
    // Running a completion twice has no effect besides the endpoints' load.
    idempotent: true,
    authorize: buildKeyCheck(dependencies, owner, service),
    signal: exchange.signal,
  };
  const tokens = completion.stream
    ? await streamAnswer(exchange, execution.run(request))
    : await respondBuffered(exchange, dependencies, request);
  if (tokens > 0) dependencies.answerLengths.note(completion.model, tokens);
}

/**
 * Returns the largest body limit of the account's services. The service is
 * known only after the body is read; its own limit is checked then.
 */
function findBodyLimit(services: readonly VersionedDocument[]): number {
  return Math.max(
    0,
    ...services.map(({document}) => document.service.max_body),
  );
}

/**
 * Streams the events and returns the number of tokens sent. The response head
 * is sent with the first event, so that a request that fails earlier gets its
 * own status.
 */
async function streamAnswer(
  exchange: HttpExchange,
  events: AsyncIterable<EndpointEvent>,
): Promise<number> {
  const {response} = exchange;
  const writer = createAnswerWriter(response);
  let status = 200;
  let tokens = 0;
  try {
    for await (const event of events) {
      if (event.kind === 'head') status = event.status;
      if (event.kind !== 'data') continue;
      if (status !== 200) {
        respondEngineError(exchange, status, event.payload);
        continue;
      }
      if (!response.headersSent) writeStreamHead(exchange);
      tokens++;
      const drained = writer.write(`data: ${event.payload}\n\n`);
      if (drained) await drained;
    }
  } catch (thrown) {
    if (!response.headersSent) throw thrown;
    endBrokenStream(exchange, toRouterError(thrown, 'may-have-run'));
    throw thrown;
  }
  if (status !== 200) return 0;
  if (!response.headersSent) writeStreamHead(exchange);
  response.end(END_EVENT);
  return tokens;
}

function writeStreamHead({response, requestId}: HttpExchange) {
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
    [REQUEST_ID_HEADER]: requestId,
  });
}

/**
 * Ends a stream with an error event and without [DONE], so that the caller sees
 * that it is incomplete.
 */
function endBrokenStream({response}: HttpExchange, error: RouterError) {
  const body = JSON.stringify(buildErrorBody(error));
  response.end(`event: error\ndata: ${body}\n\n`);
}

async function respondBuffered(
  exchange: HttpExchange,
  {execution}: CallerDependencies,
  request: ExecutionRequest,
): Promise<number> {
  const {status, payloads} = await execution.collect(request);
  if (status !== 200) {
    respondEngineError(exchange, status, Buffer.concat(payloads));
    return 0;
  }
  respondJson(exchange, 200, collectCompletion(exchange.path, payloads));
  return payloads.length;
}

/** Forwards the error response of the engine to the caller. */
function respondEngineError(
  exchange: HttpExchange,
  status: number,
  body: Buffer,
) {
  respondBytes(exchange, status, body, {
    'content-type': 'application/json',
    [VERDICT_HEADER]: 'ran',
  });
}
