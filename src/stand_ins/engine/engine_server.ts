/**
 * A model engine stand-in on loopback. It has continuous batching, streams that
 * resume by request id and offset, orders, cache events and load reports. Tests
 * inject faults through `faults` or the `/control` path; see engine_options.ts.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import {listenServer} from '../../common/listen.js';
import {createEngineCache, type EngineCache} from './engine_cache.js';
import {
  createFaultQueue,
  engineOptionsSchema,
  type EngineOptions,
  type FaultQueue,
} from './engine_options.js';
import {createEngineOrders, type EngineOrders} from './engine_orders.js';
import {dispatchRequest} from './engine_routes.js';
import {createEngineStreams, type EngineStreams} from './engine_streams.js';

/** Counts since the start of the stand-in. */
export interface EngineCounts {
  /** Streams started; a request that ran twice counts twice. */
  started: number;
  resumed: number;
  refused: number;
  cancelled: number;
}

/** A load report. */
export interface EngineLoad {
  at: number;
  running: number;
  waiting: number;
  cacheUsage: number;
}

/** The parts of a running stand-in that its routes use. */
export interface EngineState {
  options: EngineOptions;
  faults: FaultQueue;
  streams: EngineStreams;
  cache: EngineCache;
  orders: EngineOrders;
  counts: EngineCounts;
  /** Headers and bodies of all requests, so that tests can search for leaks. */
  received: string[];
  /** Simulates the end of the process; new connections are refused. */
  halt(): void;
  /** Measures the load and returns the measurement of `loadLagMs` ago. */
  reportLoad(): EngineLoad;
}

/** A running engine stand-in. */
export interface EngineServer extends Omit<EngineState, 'reportLoad'> {
  address: string;
  /** Closes every connection and drops every stream, as a crash does. */
  crash(): void;
  /** Returns whether a prompt ended the simulated process. */
  hasEnded(): boolean;
  stop(): Promise<void>;
}

/** Starts an engine on loopback; port 0 picks a free port. */
export async function startEngineServer(
  options: Partial<EngineOptions> = {},
  port = 0,
): Promise<EngineServer> {
  const state = createEngineState(options, () => {
    isEnded = true;
    server.close();
    resetAll();
  });
  let isEnded = false;
  const server = createServer((request, response) => {
    void handleRequest(request, response, state);
  });
  const address = await listenServer(server, 'engine', '127.0.0.1', port);

  function resetAll() {
    state.streams.clear();
    state.cache.clear();
    server.closeAllConnections();
  }

  return {
    ...state,
    address,
    crash: resetAll,
    hasEnded: () => isEnded,
    async stop() {
      resetAll();
      if (!isEnded) await new Promise(resolve => server.close(resolve));
    },
  };
}

function createEngineState(
  overrides: Partial<EngineOptions>,
  halt: () => void,
): EngineState {
  const options = engineOptionsSchema.parse(overrides);
  const streams = createEngineStreams(options);
  const cache = createEngineCache(options);
  return {
    options,
    faults: createFaultQueue(),
    streams,
    cache,
    orders: createEngineOrders(options),
    counts: {started: 0, resumed: 0, refused: 0, cancelled: 0},
    received: [],
    halt,
    reportLoad: createLoadReport(options, streams, cache),
  };
}

/**
 * Creates a load report that lags: each call measures the load, and returns the
 * newest measurement that is at least `loadLagMs` old.
 */
function createLoadReport(
  options: EngineOptions,
  streams: EngineStreams,
  cache: EngineCache,
): () => EngineLoad {
  let measured: EngineLoad[] = [];
  return () => {
    const at = Date.now();
    measured.push({
      at,
      running: streams.countRunning(),
      waiting: streams.countWaiting(),
      cacheUsage: cache.computeUsage(),
    });
    const oldEnough = measured.filter(
      load => load.at <= at - options.loadLagMs,
    );
    const reported = oldEnough.at(-1) ?? measured[0];
    measured = measured.filter(load => load.at >= reported.at);
    return reported;
  };
}

async function handleRequest(
  request: IncomingMessage,
  response: ServerResponse,
  state: EngineState,
) {
  try {
    await dispatchRequest(request, response, state);
  } catch {
    // The connection closed while the request was read, or its body is invalid.
    if (!response.headersSent) response.writeHead(400);
    response.end();
  }
}
