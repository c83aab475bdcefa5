/** The callers' HTTP interface: routes requests to their handlers. */
import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Clock} from '../../common/clock.js';
import {RouterError, toRouterError} from '../../common/errors.js';
import {generateId} from '../../common/ids.js';
import type {Batch} from '../batch/batch.js';
import type {Configuration} from '../configuration/configuration.js';
import type {Execution} from '../execution/execution.js';
import type {KeyDirectory} from '../keys/key_directory.js';
import type {Limits} from '../limits/limits.js';
import {
  HEADERS_TIMEOUT_MS,
  MAX_HEADER_BYTES,
  REQUEST_TIMEOUT_MS,
} from './constants.js';
import {respondError, type HttpExchange} from './http_exchange.js';
import {ROUTES} from './routes.js';

/** What the handlers of the callers' interface work with. */
export interface CallerDependencies {
  clock: Clock;
  configuration: Configuration;
  keys: KeyDirectory;
  limits: Limits;
  execution: Execution;
  batch: Batch;
}

/** The running interface. */
export interface Callers {
  /** IP number and port it listens on. */
  address: string;
  /** Takes no new connections and resolves when all answers have ended. */
  drain(boundMs?: number): Promise<void>;
}

/** Starts to listen; `host` and `port` are those of the settings. */
export async function startCallers(
  host: string,
  port: number,
  dependencies: CallerDependencies,
): Promise<Callers> {
  const server = createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
    },
    (request, response) => {
      const exchange = buildExchange(request, response);
      void handleExchange(exchange, dependencies);
    },
  );
  await new Promise<void>(resolve => server.listen(port, host, resolve));
  const bound = server.address() as AddressInfo;
  return {
    address: `${host}:${bound.port}`,
    drain: boundMs => drainServer(server, boundMs),
  };
}

function buildExchange(
  request: IncomingMessage,
  response: HttpExchange['response'],
): HttpExchange {
  const url = new URL(request.url ?? '/', 'http://instance');
  return {
    request,
    response,
    path: url.pathname,
    query: url.searchParams,
    // Always our own: two callers that chose the same id would be given each
    // other's stream by an engine that resumes by id.
    requestId: generateId('req'),
  };
}

async function handleExchange(
  exchange: HttpExchange,
  dependencies: CallerDependencies,
) {
  try {
    await findRoute(exchange).handle(exchange, dependencies);
  } catch (thrown) {
    respondError(exchange, toRouterError(thrown, 'not-run'));
  }
}

function findRoute(exchange: HttpExchange) {
  const onPath = ROUTES.filter(route => route.pattern.test(exchange.path));
  const route = onPath.find(({method}) => method === exchange.request.method);
  if (route) return route;
  if (onPath.length > 0) {
    throw new RouterError(
      'method_not_allowed',
      `use ${onPath.map(({method}) => method).join(' or ')} here`,
      {verdict: 'not-run'},
    );
  }
  throw new RouterError('not_found', `there is no ${exchange.path}`, {
    verdict: 'not-run',
  });
}

async function drainServer(server: Server, boundMs?: number) {
  const closed = new Promise<void>(resolve => server.close(() => resolve()));
  server.closeIdleConnections();
  if (boundMs === 0) server.closeAllConnections();
  await closed;
}
