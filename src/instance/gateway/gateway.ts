/**
 * HTTP server of the gateway: finds the route and the account of each request.
 */
import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '../../common/clock.js';
import {RouterError, toRouterError} from '../../common/errors.js';
import {hashText} from '../../common/ids.js';
import {listenServer} from '../../common/listen.js';
import type {Log} from '../../common/log.js';
import type {Metrics} from '../../common/metrics.js';
import type {StateSource} from '../../common/state_dump.js';
import type {Bundles} from '../bundles/bundles.js';
import {TIMEOUT_CHECK_INTERVAL_MS} from '../callers/constants.js';
import {drainServer} from '../callers/drain_server.js';
import {createExchanges} from '../callers/exchanges.js';
import {
  readBody,
  respondBytes,
  respondJson,
  type HttpExchange,
} from '../callers/http_exchange.js';
import {refuseMalformed} from '../callers/malformed_requests.js';
import type {
  CallerBounds,
  RoutingAccount,
} from '../routing/routing_document.js';
import type {RoutingTable} from '../routing/routing_table.js';
import {
  REFUSED_RETRY_AFTER_MS,
  REQUEST_BUCKETS_MS,
  RECEIVE_TIMEOUT_MS,
  UNREADY_RETRY_AFTER_MS,
} from './constants.js';
import {isRefusedByDrain, type DrainPeriod} from './drain_admission.js';
import type {HeldAnswers} from './held_answers.js';
import type {BundleCall, CallerProtocol, CallerRequest} from './protocols.js';
import {respondRefusal} from './refusals.js';
import type {Relay} from './relay.js';
import {computeDeadline, type AdmittedRequest} from './request_state.js';

export interface GatewayDependencies {
  clock: Clock;
  log: Log;
  metrics: Metrics;
  routing: RoutingTable;
  protocol: CallerProtocol;
  relay: Relay;
  bundles: Bundles;
  heldAnswers: HeldAnswers;
  /** Whether another instance can serve callers. */
  hasLivePeer: () => boolean;
}

/** The running HTTP server. */
export interface Gateway extends StateSource {
  address: string;
  /** From now on, connections close after their current response. */
  startDraining(period: DrainPeriod): void;
  /**
   * Resolves when all responses have ended, at the latest after `timeoutMs`.
   */
  drain(timeoutMs: number): Promise<void>;
}

/** Starts to listen; port 0 selects a free port. */
export async function startGateway(
  host: string,
  port: number,
  dependencies: GatewayDependencies,
): Promise<Gateway> {
  const {clock, log, metrics, routing} = dependencies;
  const exchanges = createExchanges(clock, metrics);
  let drainPeriod: DrainPeriod | undefined;
  const handle = createHandler(dependencies, () => drainPeriod);
  const server = createServer(
    {
      requestTimeout: RECEIVE_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
    },
    (message, response) => {
      const exchange = exchanges.open(message, response);
      if (exchange) void handle(exchange);
    },
  );
  server.on('clientError', (error: Error, socket) => {
    log.info({err: error.message}, 'rejected a malformed HTTP request');
    refuseMalformed(error, socket as Socket, exchanges);
  });
  routing.subscribe(({callerBounds}) => applyBounds(server, callerBounds));
  const address = await listenServer(server, 'callers', host, port);
  return {
    address,
    startDraining(period) {
      drainPeriod = period;
      exchanges.startDraining();
    },
    drain: timeoutMs => drainServer(server, exchanges, clock, timeoutMs),
    describeState: () => ({
      open: exchanges.count(),
      held: dependencies.heldAnswers.describeState(),
    }),
  };
}

/** Applies to connections opened from now on. */
function applyBounds(server: Server, bounds: CallerBounds) {
  // Node.js reads maxHeaderSize from the server for each new connection, but
  // its types declare it only as an option.
  (server as Server & {maxHeaderSize: number}).maxHeaderSize =
    bounds.maxHeaderBytes;
  server.headersTimeout = bounds.headerTimeoutMs;
  server.keepAliveTimeout = bounds.idleTimeoutMs;
}

/**
 * Converts the failure of a request. One that the drain timeout ended is reported with
 * that reason; what is known of its runs remains the verdict.
 */
function toCallerError({signal}: HttpExchange, thrown: unknown): RouterError {
  const error = toRouterError(thrown, 'may-have-run');
  if (!(signal.reason instanceof RouterError)) return error;
  const {code, message} = signal.reason;
  return new RouterError(code, message, {
    verdict: error.verdict,
    retryAfterMs: REFUSED_RETRY_AFTER_MS,
    cause: error,
  });
}

/** Handles one exchange; never throws. */
function createHandler(
  {
    clock,
    log,
    metrics,
    routing,
    protocol,
    relay,
    bundles,
    heldAnswers,
    hasLivePeer,
  }: GatewayDependencies,
  getDrainPeriod: () => DrainPeriod | undefined,
): (exchange: HttpExchange) => Promise<void> {
  const answers = metrics.createCounter(
    'gateway_answers_total',
    'Answers to callers, by status and by error code or ok.',
    ['status', 'code'],
  );
  const durations = metrics.createHistogram(
    'gateway_request_ms',
    'Time from a request to the end of its answer, in ms.',
    REQUEST_BUCKETS_MS,
  );

  function authenticate(key: string | undefined): RoutingAccount {
    const account =
      key === undefined ? undefined : routing.findAccountByKey(hashText(key));
    if (account) return account;
    throw new RouterError('invalid_key', 'the key is not known', {
      verdict: 'not-run',
    });
  }

  async function submitBundle(
    exchange: HttpExchange,
    caller: CallerRequest,
    routeName: string,
    account: RoutingAccount,
  ) {
    const {callerBounds} = routing.getDocument()!;
    const body = await readBody(
      exchange.request,
      callerBounds.maxBodyBytes,
      heldAnswers.openBody(account.name),
    );
    const items = protocol.decodeBundle(body);
    if (!items) {
      throw new RouterError('invalid_request', 'the body is no bundle', {
        verdict: 'not-run',
      });
    }
    await bundles.submit({
      id: caller.id,
      account: account.name,
      route: routeName,
      host: caller.host,
      items,
    });
    respondJson(exchange, 202, {});
  }

  const bundleCallHandlers: {
    [Kind in BundleCall['kind']]: (
      exchange: HttpExchange,
      call: Extract<BundleCall, {kind: Kind}>,
      account: string,
    ) => Promise<void>;
  } = {
    async read(exchange, {bundleId, after, waitMs}, account) {
      const page = await bundles.read(
        {id: bundleId, account, after, waitMs},
        exchange.signal,
      );
      const body = Buffer.from(JSON.stringify(protocol.encodePage(page)));
      heldAnswers.reserveResult(exchange.response, account, body.length);
      respondBytes(exchange, 200, body, {'content-type': 'application/json'});
    },
    async body(exchange, {bundleId, itemId}, account) {
      const body = await bundles.fetchItemBody(bundleId, itemId, account);
      heldAnswers.reserveResult(exchange.response, account, body.length);
      respondBytes(exchange, 200, body, {
        'content-type': 'application/octet-stream',
      });
    },
    async end(exchange, {bundleId}, account) {
      await bundles.end(bundleId, account);
      respondJson(exchange, 200, {});
    },
  };

  async function handleBundleCall(exchange: HttpExchange, call: BundleCall) {
    const {key} = protocol.decodeRequest(exchange.request);
    const account = authenticate(key);
    const handler = bundleCallHandlers[call.kind] as (
      exchange: HttpExchange,
      call: BundleCall,
      account: string,
    ) => Promise<void>;
    await handler(exchange, call, account.name);
  }

  function checkDrain(admitted: AdmittedRequest) {
    const deadline = computeDeadline(admitted);
    const period = getDrainPeriod();
    if (!isRefusedByDrain(period, deadline, hasLivePeer(), clock.now())) return;
    throw new RouterError('draining', 'the instance is stopping', {
      verdict: 'not-run',
      retryAfterMs: REFUSED_RETRY_AFTER_MS,
    });
  }

  async function handleRouted(
    exchange: HttpExchange,
    message: IncomingMessage,
  ) {
    const arrivedAt = clock.now();
    const caller = protocol.decodeRequest(message);
    const route = routing.findRoute(caller.host, caller.path);
    if (!route) {
      throw new RouterError('not_found', `no route for ${caller.path}`, {
        verdict: 'not-run',
      });
    }
    const account = route.isPublic ? undefined : authenticate(caller.key);
    if (route.form !== 'bundle') {
      const admitted = {exchange, caller, route, account, arrivedAt};
      checkDrain(admitted);
      await relay.run(admitted);
      return;
    }
    if (!account || caller.method !== 'POST') {
      throw new RouterError('method_not_allowed', 'bundles are POSTed here', {
        verdict: 'not-run',
      });
    }
    await submitBundle(exchange, caller, route.name, account);
  }

  async function handleIfReady(exchange: HttpExchange) {
    if (!routing.getDocument()) {
      throw new RouterError('isolated', 'no configuration is known yet', {
        verdict: 'not-run',
        retryAfterMs: UNREADY_RETRY_AFTER_MS,
      });
    }
    const call = protocol.decodeBundleCall(exchange.request);
    if (call) await handleBundleCall(exchange, call);
    else await handleRouted(exchange, exchange.request);
  }

  function logRefusal({request, path}: HttpExchange, error: RouterError) {
    const {code, verdict, message, retryAfterMs} = error;
    const req = protocol.decodeRequest(request).id;
    const fields = {req, path, code, verdict, retryAfterMs, why: message};
    if (code === 'internal')
      log.error({...fields, err: error.cause}, 'internal error');
    else
      log.info({...fields, routing: routing.getVersion()}, 'request refused');
  }

  return async exchange => {
    const startedAt = clock.now();
    const {response} = exchange;
    let code = 'ok';
    try {
      await handleIfReady(exchange);
    } catch (thrown) {
      const error = toCallerError(exchange, thrown);
      code = error.code;
      logRefusal(exchange, error);
      respondRefusal(exchange, error, protocol);
    }
    durations.observe(clock.now() - startedAt);
    answers.inc({status: response.statusCode, code});
  };
}
