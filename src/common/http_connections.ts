/**
 * Outgoing HTTP connections that are kept between requests.
 *
 * Failure: a kept connection may be dead. The other side closes it after a time that it
 * may have stated, a device on the path drops it, or bytes arrive on it that belong to
 * no request. A request on such a connection fails, or gets the response to another
 * one. So a connection is not kept beyond the stated time or its maximum age, and one on
 * which anything arrives while it is idle is closed.
 */
import {
  Agent,
  request as requestHttp,
  type AgentOptions,
  type ClientRequest,
  type IncomingMessage,
  type RequestOptions,
} from 'node:http';
import {Agent as SecureAgent, request as requestHttps} from 'node:https';
import type {Socket} from 'node:net';
import {findConnectionEnd, type ConnectionEnd} from './connection_end.js';
import type {Framing} from './response_framing.js';
import {createSocketReads, type ReadCollector} from './socket_reads.js';

/** A connection was not established in time, so nothing was sent on it. */
export class ConnectTimeoutError extends Error {
  readonly code = 'ERR_CONNECT_TIMEOUT';

  constructor(timeoutMs: number) {
    super(`no connection within ${timeoutMs} ms`);
    this.name = 'ConnectTimeoutError';
  }
}

export interface HttpConnectionOptions {
  connectTimeoutMs: number;
  /** Maximum age of a connection that is used again; by default unlimited. */
  maxAgeMs?: number;
  /** Maximum number of connections to one address; by default unlimited. */
  maxConnections?: number;
  /** Longest time for which reads are collected; see `collectReads`. */
  readTickMs?: number;
}

/** Connections by address. */
export interface HttpConnections {
  /** As `request` of node:http or node:https, on a kept or a new connection. */
  openRequest(protocol: HttpProtocol, options: RequestOptions): ClientRequest;
  /**
   * Collects the reads of a connection, which are then delivered in ticks, the last
   * ones before the connection's end or error. `onDelivered` is called after each
   * delivery. Returns undefined if the reads of the connection cannot be collected.
   */
  collectReads(
    socket: Socket,
    onDelivered: () => void,
  ): ReadCollector | undefined;
  /** How the other side ended a connection; undefined if it did not. */
  findConnectionEnd(socket: Socket): ConnectionEnd | undefined;
  /**
   * Whether a response was received completely. If its body ends with the connection,
   * only an orderly end of that completes it.
   */
  isWhole(response: IncomingMessage, framing: Framing): boolean;
  /** Numbers of busy and idle connections, by address. */
  describeState(): object;
  close(): void;
}

export type HttpProtocol = 'http:' | 'https:';

/** Time that an idle connection is kept if the other side stated none. */
const DEFAULT_IDLE_MS = 4000;

/** An idle connection is closed this long before the other side closes it. */
const IDLE_MARGIN_MS = 1000;

/**
 * Default of `readTickMs`. A reader of collected bytes learns of them up to this much
 * later, which must be short beside the silence after which it gives a response up.
 */
const READ_TICK_MS = 150;

const STATED_TIMEOUT = /timeout=(\d+)/;
const MS_PER_S = 1000;

/** What is known of an open connection. */
interface ConnectionRecord {
  openedAt: number;
  /** Idle time after which it must not be used, in ms. */
  idleMs: number;
  /** Removes the listeners of the idle time. */
  endIdle: () => void;
  end?: ConnectionEnd;
}

export function createHttpConnections(
  options: HttpConnectionOptions,
): HttpConnections {
  const {connectTimeoutMs, maxAgeMs = Infinity} = options;
  const reads = createSocketReads(options.readTickMs ?? READ_TICK_MS);
  const records = new WeakMap<Socket, ConnectionRecord>();
  const agentOptions: AgentOptions = {
    keepAlive: true,
    scheduling: 'lifo',
    maxSockets: options.maxConnections ?? Infinity,
    maxFreeSockets: Infinity,
  };
  const agents = {
    'http:': applyLifetimes(readDirectly(new Agent(agentOptions))),
    'https:': applyLifetimes(new SecureAgent(agentOptions)),
  };
  const openers = {'http:': requestHttp, 'https:': requestHttps};

  function noteConnecting(socket: Socket) {
    const record: ConnectionRecord = {
      openedAt: performance.now(),
      idleMs: DEFAULT_IDLE_MS,
      endIdle: () => {},
    };
    records.set(socket, record);
    socket.once('end', () => {
      record.end = findConnectionEnd(socket);
    });
    socket.once('error', () => {
      record.end = 'reset';
    });
    const timer = setTimeout(
      () => socket.destroy(new ConnectTimeoutError(connectTimeoutMs)),
      connectTimeoutMs,
    );
    const stopTimer = () => clearTimeout(timer);
    socket.once('connect', stopTimer).once('close', stopTimer);
  }

  /** Returns whether the connection may be used again. */
  function keepIdle(socket: Socket): boolean {
    const record = records.get(socket);
    if (!record) return false;
    const {openedAt, idleMs} = record;
    if (idleMs <= 0 || performance.now() - openedAt >= maxAgeMs) return false;
    const destroy = () => void socket.destroy();
    socket.once('data', destroy);
    socket.setTimeout(idleMs, destroy);
    socket.unref();
    record.endIdle = () => {
      socket.off('data', destroy);
      socket.off('timeout', destroy);
      socket.setTimeout(0);
    };
    return true;
  }

  /** Reads without the buffers of a stream, which cost more than the read itself. */
  function readDirectly(agent: Agent): Agent {
    const connect = agent.createConnection.bind(agent);
    agent.createConnection = (connectOptions, callback) => {
      const {onread, attach} = reads.prepare();
      const socket = connect({...connectOptions, onread} as never, callback);
      attach(socket as Socket);
      return socket;
    };
    return agent;
  }

  function applyLifetimes<Kind extends Agent>(agent: Kind): Kind {
    const connect = agent.createConnection.bind(agent);
    const reuseSocket = agent.reuseSocket.bind(agent);
    agent.createConnection = (...inputs: Parameters<typeof connect>) => {
      const socket = connect(...inputs) as Socket;
      noteConnecting(socket);
      return socket;
    };
    agent.keepSocketAlive = socket => keepIdle(socket as Socket) as never;
    agent.reuseSocket = (socket, request) => {
      records.get(socket as Socket)?.endIdle();
      // Removes the agent's own listener for errors of an idle connection.
      reuseSocket(socket, request);
    };
    return agent;
  }

  /** Reads for how long the other side keeps the connection, in whole seconds. */
  function noteStatedTimeout({headers, socket}: IncomingMessage) {
    const stated = STATED_TIMEOUT.exec(String(headers['keep-alive']));
    const record = records.get(socket);
    if (!record) return;
    record.idleMs = stated
      ? Math.min(DEFAULT_IDLE_MS, Number(stated[1]) * MS_PER_S - IDLE_MARGIN_MS)
      : DEFAULT_IDLE_MS;
  }

  return {
    openRequest(protocol, requestOptions) {
      const agent = agents[protocol];
      const opened = openers[protocol]({...requestOptions, agent});
      return opened.on('response', noteStatedTimeout);
    },
    collectReads: reads.collect,
    findConnectionEnd: socket => records.get(socket)?.end,
    isWhole({complete, socket}, framing) {
      if (!complete) return false;
      return framing !== 'connection' || records.get(socket)?.end === 'closed';
    },
    describeState() {
      const states: Record<string, {busy: number; idle: number}> = {};
      for (const agent of Object.values(agents)) {
        for (const [name, busy] of Object.entries(agent.sockets)) {
          states[name] = {busy: busy?.length ?? 0, idle: 0};
        }
        for (const [name, idle] of Object.entries(agent.freeSockets)) {
          states[name] ??= {busy: 0, idle: 0};
          states[name].idle = idle?.length ?? 0;
        }
      }
      return states;
    },
    close() {
      for (const agent of Object.values(agents)) agent.destroy();
    },
  };
}
