/**
 * A model engine stand-in on loopback: continuous batching, streams that
 * resume by request id and offset, orders, cache events, load reports, and
 * faults on command (see engine_options.ts and the `/control` path).
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

/** What the stand-in has counted. */
export interface EngineCounts {
  /** Streams begun: a request run twice counts twice. */
  started: number;
  resumed: number;
  refused: number;
  cancelled: number;
}

/** Load as it was a while ago. */
export interface EngineLoad {
  at: number;
  running: number;
  waiting: number;
  cacheUsage: number;
}

/** The parts of a running stand-in that its routes work with. */
export interface EngineState {
  options: EngineOptions;
  faults: FaultQueue;
  streams: EngineStreams;
  cache: EngineCache;
  orders: EngineOrders;
  counts: EngineCounts;
  /** What it received: header blocks and bodies, to look for leaks. */
  received: string[];
  /** Ends the process: its machine refuses connections from now on. */
  halt(): void;
  /** Measures the load now and returns it as of `loadLagMs` ago. */
  reportLoad(): EngineLoad;
}

/** A running engine stand-in. */
export interface EngineServer extends Omit<EngineState, 'reportLoad'> {
  address: string;
  /** Closes every connection and forgets every stream, as a crash does. */
  crash(): void;
  /** Whether a prompt has ended its process. */
  hasEnded(): boolean;
  stop(): Promise<void>;
}

/** Starts an engine on loopback; port 0 takes a free one. */
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
  given: Partial<EngineOptions>,
  halt: () => void,
): EngineState {
  const options = engineOptionsSchema.parse(given);
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

/** Reports lag: each call measures, and returns the newest old enough. */
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
    const old = measured.filter(load => load.at <= at - options.loadLagMs);
    const reported = old.at(-1) ?? measured[0];
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
    // The connection ended while the request was read, or its body is wrong.
    if (!response.headersSent) response.writeHead(400);
    response.end();
  }
}
