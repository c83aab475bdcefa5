/**
 * Connections to endpoints, through undici. Services differ in connect timeout
 * and maximum connection age, so there is one agent for each pair of these.
 */
import type {Socket} from 'node:net';
import {Agent, buildConnector, errors} from 'undici';
import type {Dispatcher} from 'undici';
import {findConnectionEnd} from '../../common/connection_end.js';
import type {ServiceDocument} from '../configuration/service_document.js';

type EndpointLimits = Pick<
  ServiceDocument['endpoint'],
  'connect_timeout' | 'max_connection_age'
>;

/** The open connections to endpoints. */
export interface EndpointConnections {
  /** Connections that stay open between calls, up to their maximum age. */
  getKeepAlive(limits: EndpointLimits): Dispatcher;
  /** A connection for one call, closed after it. */
  getFresh(limits: EndpointLimits): Dispatcher;
  /** Connections and running calls by endpoint address. */
  describeState(): object;
  close(): Promise<void>;
}

/** Creates a set without connections. */
export function createEndpointConnections(): EndpointConnections {
  const agents = new Map<string, Agent>();

  function findAgent(key: string, limits: EndpointLimits, keepAlive: boolean) {
    const existing = agents.get(key);
    if (existing) return existing;
    const agent = new Agent({
      // One request at a time on a connection. With pipelining, a response that
      // stalls would block the responses behind it (head-of-line blocking), and
      // they would fail when its connection is closed.
      pipelining: keepAlive ? 1 : 0,
      connections: null,
      connect: createConnector(limits.connect_timeout),
      // A connection that a device in between has dropped silently looks open
      // for ever. The bounded age keeps requests off old connections.
      clientTtl: keepAlive ? limits.max_connection_age : undefined,
    });
    agents.set(key, agent);
    return agent;
  }

  return {
    getKeepAlive: limits =>
      findAgent(
        `${limits.connect_timeout}/${limits.max_connection_age}`,
        limits,
        true,
      ),
    getFresh: limits => findAgent(`${limits.connect_timeout}`, limits, false),
    describeState: () =>
      Object.assign({}, ...[...agents.values()].map(({stats}) => stats)),
    async close() {
      await Promise.all([...agents.values()].map(agent => agent.destroy()));
      agents.clear();
    },
  };
}

function createConnector(timeout: number): buildConnector.connector {
  const connect = buildConnector({timeout});
  return (options, callback) =>
    connect(options, (...result) => {
      const [, socket] = result;
      if (socket) failOnReset(socket);
      callback(...result);
    });
}

/**
 * Reports the reset of a connection as an error of the client library. undici takes a
 * reset, also one that is reported as such, for the end of a response that has neither
 * a length nor chunks.
 */
function failOnReset(socket: Socket) {
  const emit = socket.emit.bind(socket) as (
    name: string,
    ...values: unknown[]
  ) => boolean;
  const buildError = () => new errors.SocketError('the connection was reset');
  socket.emit = (name: string, ...values: unknown[]) => {
    if (name === 'end' && findConnectionEnd(socket) === 'reset') {
      socket.destroy(buildError());
      return true;
    }
    const {code} = (values[0] ?? {}) as NodeJS.ErrnoException;
    const isReset = name === 'error' && code === 'ECONNRESET';
    return isReset ? emit(name, buildError()) : emit(name, ...values);
  };
}
