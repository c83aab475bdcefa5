/** Answers completions, streamed or whole. */
import {z} from 'zod';
import {RouterError} from '../../common/errors.js';
import type {EndpointEvent} from '../endpoints/endpoint_adapter.js';
import {collectCompletion} from '../execution/completions.js';
import type {ExecutionRequest} from '../execution/execution.js';
import {
  authenticateCaller,
  checkKeyVerdict,
  findServiceOfModel,
  parseDeadline,
} from './admission.js';
import type {CallerDependencies} from './callers.js';
import {FORWARDED_HEADERS, REQUEST_ID_HEADER} from './constants.js';
import {
  parseJsonObject,
  readBody,
  respondJson,
  type HttpExchange,
} from './http_exchange.js';

const BODY_LIMIT = 1024 ** 2;
const CHARACTERS_PER_TOKEN = 4;
const DEFAULT_ANSWER_TOKENS = 128;

const completionSchema = z.looseObject({
  model: z.string(),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().positive().optional(),
});

/** Runs one completion and answers it. */
export async function handleCompletion(
  exchange: HttpExchange,
  dependencies: CallerDependencies,
): Promise<void> {
  const {clock, configuration, keys, limits, execution} = dependencies;
  const owner = authenticateCaller(exchange.request, keys, clock.now());
  const body = await readBody(exchange.request, BODY_LIMIT);
  const completion = parseCompletion(body);
  const service = findServiceOfModel(
    configuration,
    owner.account,
    completion.model,
  );
  const deadline = parseDeadline(exchange.request, service, clock.now());
  const decision = await limits.acquire(
    {service: service.document.service.name, account: owner.account},
    service.document.account[owner.account],
  );
  if (decision.kind === 'refused') {
    throw new RouterError('rate_limited', 'the account is over its rate', {
      verdict: 'not-run',
      retryAfterMs: decision.retryAfterMs,
    });
  }
  const request: ExecutionRequest = {
    requestId: exchange.requestId,
    service,
    account: owner.account,
    workClass: 'online',
    method: 'POST',
    path: exchange.path,
    headers: selectHeaders(exchange),
    body: Buffer.from(JSON.stringify({...completion, stream: true})),
    model: completion.model,
    deadline,
    promptTokens: Math.ceil(body.length / CHARACTERS_PER_TOKEN),
    answerTokens: completion.max_tokens ?? DEFAULT_ANSWER_TOKENS,
    prefixHashes: [],
    idempotent: true,
    authorize: () => {
      checkKeyVerdict(keys.check(owner.keyHash, clock.now()), 'key_withdrawn');
    },
    signal: buildAbortSignal(exchange),
  };
  const events = execution.run(request);
  await (completion.stream
    ? streamAnswer(exchange, events)
    : respondWhole(exchange, events));
}

function parseCompletion(body: Buffer): z.infer<typeof completionSchema> {
  const parsed = completionSchema.safeParse(parseJsonObject(body));
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  throw new RouterError('invalid_request', issue.message, {
    verdict: 'not-run',
    field: issue.path.join('.'),
  });
}

/** The caller's key is not among them, so no endpoint sees it. */
function selectHeaders(exchange: HttpExchange): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const name of FORWARDED_HEADERS) {
    const value = exchange.request.headers[name];
    if (value !== undefined) headers[name] = String(value);
  }
  return headers;
}

/** Aborted when the caller's connection closes before its answer ended. */
function buildAbortSignal(exchange: HttpExchange): AbortSignal {
  const controller = new AbortController();
  exchange.response.on('close', () => controller.abort());
  return controller.signal;
}

async function streamAnswer(
  exchange: HttpExchange,
  events: AsyncIterable<EndpointEvent>,
) {
  const {response} = exchange;
  for await (const event of events) {
    if (event.kind === 'head') {
      checkStatus(event.status);
      response.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-store',
        [REQUEST_ID_HEADER]: exchange.requestId,
      });
    }
    if (event.kind === 'data') response.write(`data: ${event.payload}\n\n`);
  }
  response.end('data: [DONE]\n\n');
}

async function respondWhole(
  exchange: HttpExchange,
  events: AsyncIterable<EndpointEvent>,
) {
  const payloads: Buffer[] = [];
  for await (const event of events) {
    if (event.kind === 'head') checkStatus(event.status);
    if (event.kind === 'data') payloads.push(event.payload);
  }
  respondJson(exchange, 200, collectCompletion(exchange.path, payloads));
}

function checkStatus(status: number) {
  if (status === 200) return;
  throw new RouterError(
    'endpoint_failed',
    `the endpoint answered with status ${status}`,
    {verdict: 'ran'},
  );
}
