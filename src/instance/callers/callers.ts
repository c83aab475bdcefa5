/** The callers' HTTP interface: routes requests to their handlers. */
import {createServer} from 'node:http';
import type {Socket} from 'node:net';
import {listenServer} from '../../common/listen.js';
import type {Clock} from '../../common/clock.js';
import {RouterError, toRouterError} from '../../common/errors.js';
import {createMetrics, type Metrics} from '../../common/metrics.js';
import type {StateSource} from '../../common/state_dump.js';
import type {AnswerLengths} from '../../decisions/answer_length.js';
import type {Batch} from '../batch/batch.js';
import type {Configuration} from '../configuration/configuration.js';
import type {Execution} from '../execution/execution.js';
import type {KeyDirectory} from '../keys/key_directory.js';
import type {Limits} from '../limits/limits.js';
import {
  FIRST_BYTE_BUCKETS_MS,
  HEADERS_TIMEOUT_MS,
  KEEP_ALIVE_TIMEOUT_MS,
  MAX_HEADER_BYTES,
  REQUEST_TIMEOUT_MS,
  TIMEOUT_CHECK_INTERVAL_MS,
} from './constants.js';
import {drainServer} from './drain_server.js';
import {createExchanges} from './exchanges.js';
import {respondError, type HttpExchange} from './http_exchange.js';
import type {Intents} from './intents.js';
import {refuseMalformed} from './malformed_requests.js';
import {ROUTES} from './routes.js';

/** Dependencies of the handlers of the callers' interface. */
export interface CallerDependencies {
  clock: Clock;
  configuration: Configuration;
  keys: KeyDirectory;
  limits: Limits;
  execution: Execution;
  batch: Batch;
  intents: Intents;
  answerLengths: AnswerLengths;
  metrics?: Metrics;
}

/** The running HTTP interface for callers. */
export interface CallerServer extends StateSource {
  /** IP address and port it listens on. */
  address: string;
  /** From now on, connections close after their current response. */
  startDraining(): void;
  /**
   * Accepts no new connections and resolves when all responses have ended;
   * those still open after `timeoutMs` end with an error.
   */
  drain(timeoutMs: number): Promise<void>;
}

/** Starts to listen on `host` and `port`. */
export async function startCallerServer(
  host: string,
  port: number,
  dependencies: CallerDependencies,
): Promise<CallerServer> {
  const {clock, metrics = createMetrics()} = dependencies;
  const exchanges = createExchanges(clock, metrics);
  const handleExchange = createExchangeHandler(dependencies, metrics);
  const server = createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    },
    (request, response) => {
      const exchange = exchanges.open(request, response);
      if (exchange) void handleExchange(exchange);
    },
  );
  server.on('clientError', (error: Error, socket) => {
    refuseMalformed(error, socket as Socket, exchanges);
  });
  const address = await listenServer(server, 'callers', host, port);
  return {
    address,
    startDraining: () => exchanges.startDraining(),
    drain: timeoutMs => drainServer(server, exchanges, clock, timeoutMs),
    describeState: () => ({open: exchanges.count()}),
  };
}

/** Handles one exchange; never throws. */
function createExchangeHandler(
  dependencies: CallerDependencies,
  metrics: Metrics,
): (exchange: HttpExchange) => Promise<void> {
  const {clock} = dependencies;
  const answers = metrics.createCounter(
    'answers_total',
    'Answers to callers, by status and by error code or ok.',
    ['status', 'code'],
  );
  const firstByte = metrics.createHistogram(
    'first_byte_ms',
    'Time from a request to the head of its answer.',
    FIRST_BYTE_BUCKETS_MS,
  );

  async function handleRoute(exchange: HttpExchange): Promise<string> {
    try {
      await findRoute(exchange).handle(exchange, dependencies);
      return 'ok';
    } catch (thrown) {
      const error = toRouterError(thrown, 'may-have-run');
      respondError(exchange, error);
      return error.code;
    }
  }

  return async exchange => {
    const startedAt = clock.now();
    const {response} = exchange;
    const writeHead = response.writeHead;
    response.writeHead = ((...args: Parameters<typeof writeHead>) => {
      firstByte.observe(clock.now() - startedAt);
      return writeHead.apply(response, args);
    }) as typeof writeHead;
    const code = await handleRoute(exchange);
    answers.inc({status: response.statusCode, code});
  };
}

function findRoute(exchange: HttpExchange) {
  const {method} = exchange.request;
  const onPath = ROUTES.filter(route => route.pattern.test(exchange.path));
  const route = onPath.find(
    candidate => candidate.method === method || candidate.method === 'ANY',
  );
  if (route) return route;
  if (onPath.length > 0) {
    throw new RouterError(
      'method_not_allowed',
      `use ${onPath.map(candidate => candidate.method).join(' or ')} here`,
      {verdict: 'not-run'},
    );
  }
  throw new RouterError('not_found', `there is no ${exchange.path}`, {
    verdict: 'not-run',
  });
}
