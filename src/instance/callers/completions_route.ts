/** Answers completions, streamed or whole. */
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

/** Runs one completion and answers it. */
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
    // Running a completion twice changes nothing but the endpoints' load.
    idempotent: true,
    authorize: buildKeyCheck(dependencies, owner, service),
    signal: exchange.signal,
  };
  const tokens = completion.stream
    ? await streamAnswer(exchange, execution.run(request))
    : await respondWhole(exchange, dependencies, request);
  if (tokens > 0) dependencies.answerLengths.note(completion.model, tokens);
}

/** The service is known only from the body; then its own limit holds. */
function findBodyLimit(services: readonly VersionedDocument[]): number {
  return Math.max(
    0,
    ...services.map(({document}) => document.service.max_body),
  );
}

/**
 * Streams the events. The head waits for the first of them, so that a request
 * that fails before it still gets its own status. Returns the tokens sent.
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
        respondRefusal(exchange, status, event.payload);
        continue;
      }
      if (!response.headersSent) writeStreamHead(exchange);
      tokens++;
      const full = writer.write(`data: ${event.payload}\n\n`);
      if (full) await full;
    }
  } catch (thrown) {
    if (!response.headersSent) throw thrown;
    respondBroken(exchange, toRouterError(thrown, 'may-have-run'));
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

/** Without its end mark and with this event, the answer is seen to be broken. */
function respondBroken({response}: HttpExchange, error: RouterError) {
  const body = JSON.stringify(buildErrorBody(error));
  response.end(`event: error\ndata: ${body}\n\n`);
}

async function respondWhole(
  exchange: HttpExchange,
  {execution}: CallerDependencies,
  request: ExecutionRequest,
): Promise<number> {
  const {status, payloads} = await execution.collect(request);
  if (status !== 200) {
    respondRefusal(exchange, status, Buffer.concat(payloads));
    return 0;
  }
  respondJson(exchange, 200, collectCompletion(exchange.path, payloads));
  return payloads.length;
}

/** What the engine has against the request is for the caller to read. */
function respondRefusal(exchange: HttpExchange, status: number, body: Buffer) {
  respondBytes(exchange, status, body, {
    'content-type': 'application/json',
    [VERDICT_HEADER]: 'ran',
  });
}
