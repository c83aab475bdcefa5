/** Stand-ins for model servers, as PROTOCOL.md describes them. */
import {performance} from 'node:perf_hooks';
import {createServer} from 'node:http';
import {wait} from './calls.mjs';

/**
 * Starts a server. `buildEvents` returns the data of the events for a request, and
 * `pauseMs` is the time between two. It records what it ran.
 */
export async function startServer({
  name,
  buildEvents,
  pauseMs = 4,
  onRun = () => {},
}) {
  const server = createServer(async (request, response) => {
    const {headers} = request;
    const id = String(headers['request-id'] ?? '');
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (request.method === 'GET') {
      response.writeHead(200, {'instance-id': name});
      response.end();
      return;
    }
    if (headers['expect-instance'] !== name) {
      response.writeHead(421, {'request-id': id});
      response.end();
      return;
    }
    const {method, url} = request;
    onRun({id, server: name, headers, method, url, at: performance.now()});
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'request-id': id,
      'server-stamp': `stamp.${name}.${id}`,
    });
    const events = buildEvents(headers);
    const first = Number(headers['last-event-id'] ?? 0);
    for (let index = first; index < events.length; index++) {
      if (response.destroyed) return;
      response.write(`id: ${index + 1}\ndata: ${events[index]}\n\n`);
      await wait(pauseMs);
    }
    response.end();
  });
  server.keepAliveTimeout = 10_000;
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  return {
    name,
    address: `127.0.0.1:${server.address().port}`,
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Registers a server in the store. */
export function registerServer(store, {name, address}, service, zone) {
  store.writeRow('servers', name, {
    Service: service,
    Addr: address,
    Zone: zone,
    Version: 'v1',
    Slots: 8,
    State: 'ready',
    ColdLeftMs: 0,
    Seq: 1,
  });
}
