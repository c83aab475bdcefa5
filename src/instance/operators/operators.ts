/**
 * HTTP interface for operators, on a separate address: health, readiness,
 * metrics and the state dump.
 */
import {createServer, type Server, type ServerResponse} from 'node:http';
import {listenServer} from '../../common/listen.js';
import type {Metrics} from '../../common/metrics.js';
import {collectStates, type StateSource} from '../../common/state_dump.js';

/** Why an instance should not receive new callers; undefined if it is ready. */
export type ReadinessCheck = () => string | undefined;

/** What the interface serves. */
export interface OperatorDependencies {
  metrics: Metrics;
  states: Record<string, StateSource>;
  checkReadiness: ReadinessCheck;
}

/** The running interface. */
export interface Operators {
  address: string;
  close(): Promise<void>;
}

type Handler = (
  response: ServerResponse,
  dependencies: OperatorDependencies,
) => Promise<void>;

const HANDLERS: Record<string, Handler> = {
  async '/healthz'(response) {
    respond(response, 200, 'text/plain', 'ok\n');
  },
  async '/readyz'(response, {checkReadiness}) {
    const reason = checkReadiness();
    const status = reason === undefined ? 200 : 503;
    respond(response, status, 'text/plain', `${reason ?? 'ready'}\n`);
  },
  async '/metrics'(response, {metrics}) {
    respond(response, 200, 'text/plain; version=0.0.4', await metrics.render());
  },
  async '/state'(response, {states}) {
    const dump = JSON.stringify(collectStates(states), null, 2);
    respond(response, 200, 'application/json', `${dump}\n`);
  },
};

/** Starts to listen. Port 0 selects a free port. */
export async function startOperators(
  host: string,
  port: number,
  dependencies: OperatorDependencies,
): Promise<Operators> {
  const server = createServer((request, response) => {
    const path = new URL(request.url ?? '/', 'http://operators').pathname;
    const handler = HANDLERS[path];
    if (!handler) {
      const known = Object.keys(HANDLERS).join(', ');
      respond(response, 404, 'text/plain', `there is ${known}\n`);
      return;
    }
    handler(response, dependencies).catch((error: Error) =>
      respond(response, 500, 'text/plain', `${error.message}\n`),
    );
  });
  const address = await listenServer(server, 'operators', host, port);
  return {address, close: () => closeServer(server)};
}

function respond(
  response: ServerResponse,
  status: number,
  type: string,
  body: string,
) {
  response.writeHead(status, {'content-type': type});
  response.end(body);
}

async function closeServer(server: Server) {
  server.closeAllConnections();
  await new Promise(resolve => server.close(resolve));
}
