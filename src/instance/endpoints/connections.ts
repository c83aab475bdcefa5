/**
 * Connections to endpoints, by undici. Services differ in their connect
 * timeout and connection age, so each pair of these has an agent.
 */
import {Agent} from 'undici';
import type {Dispatcher} from 'undici';
import type {ServiceDocument} from '../configuration/service_document.js';

type EndpointLimits = Pick<
  ServiceDocument['endpoint'],
  'connect_timeout' | 'max_connection_age'
>;

/** The open connections. */
export interface EndpointConnections {
  /** Connections that are kept open between calls, up to their age. */
  getKept(limits: EndpointLimits): Dispatcher;
  /** A connection for one call, closed after it. */
  getFresh(limits: EndpointLimits): Dispatcher;
  /** Connections and running calls by endpoint address. */
  describeState(): object;
  close(): Promise<void>;
}

/** Starts without connections. */
export function createEndpointConnections(): EndpointConnections {
  const agents = new Map<string, Agent>();

  function findAgent(key: string, limits: EndpointLimits, kept: boolean) {
    const held = agents.get(key);
    if (held) return held;
    const agent = new Agent({
      // One request on a connection at a time: with pipelining, a silent
      // answer would hold up, and its end would fail, those behind it.
      pipelining: kept ? 1 : 0,
      connections: null,
      connect: {timeout: limits.connect_timeout},
      // A connection that something between the two ends has lost track of
      // looks open for ever; with a bounded age no request meets an old one.
      clientTtl: kept ? limits.max_connection_age : undefined,
    });
    agents.set(key, agent);
    return agent;
  }

  return {
    getKept: limits =>
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
