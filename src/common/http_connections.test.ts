/** Kept connections that must not be used again. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {createHttpConnections} from './http_connections.js';

type Connections = ReturnType<typeof createHttpConnections>;

const CONNECT_TIMEOUT_MS = 1000;

describe('http connections', () => {
  let server: Server;
  let sockets: Socket[];
  let keepAlive: string | undefined;
  let connections: Connections;

  beforeEach(async () => {
    sockets = [];
    keepAlive = undefined;
    server = createServer((_request, response) => {
      if (keepAlive !== undefined) response.setHeader('keep-alive', keepAlive);
      response.end('ok');
    });
    server.on('connection', socket => sockets.push(socket));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    connections = createHttpConnections({connectTimeoutMs: CONNECT_TIMEOUT_MS});
  });

  afterEach(() => {
    connections.close();
    server.closeAllConnections();
    server.close();
  });

  const getPort = () => (server.address() as AddressInfo).port;

  /** Resolves when the connection of the response is idle or closed. */
  async function fetchText(from = connections): Promise<string> {
    const outgoing = from.openRequest('http:', {
      host: '127.0.0.1',
      port: getPort(),
    });
    outgoing.end();
    const [response] = (await once(outgoing, 'response')) as [IncomingMessage];
    const parts: Buffer[] = [];
    response.on('data', (part: Buffer) => parts.push(part));
    await once(outgoing, 'close');
    return Buffer.concat(parts).toString();
  }

  it('are used again', async () => {
    assert.equal(await fetchText(), 'ok');
    assert.equal(await fetchText(), 'ok');
    assert.equal(sockets.length, 1);
  });

  // A listener that is left at each reuse makes every later event of the connection
  // slower, and Node.js prints a warning at the eleventh.
  it('keep no listeners of earlier requests', async () => {
    const counts = new Set<number>();
    for (let round = 0; round < 3; round++) {
      const outgoing = connections.openRequest('http:', {
        host: '127.0.0.1',
        port: getPort(),
      });
      outgoing.end();
      const [response] = (await once(outgoing, 'response')) as [
        IncomingMessage,
      ];
      const {socket} = response;
      response.resume();
      await once(outgoing, 'close');
      const names = socket.eventNames();
      counts.add(
        names.reduce((sum, name) => sum + socket.listenerCount(name), 0),
      );
    }
    assert.equal(counts.size, 1);
    assert.equal(sockets.length, 1);
  });

  // The other side closes its end after the time it stated; a request that crosses
  // this is lost.
  it('are not kept if the other side closes them within a second', async () => {
    keepAlive = 'timeout=1';
    await fetchText();
    await fetchText();
    assert.equal(sockets.length, 2);
  });

  it('are not kept beyond their maximum age', async () => {
    const old = createHttpConnections({
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      maxAgeMs: 0,
    });
    await fetchText(old);
    await fetchText(old);
    old.close();
    assert.equal(sockets.length, 2);
  });

  // A faulty server sends a second response; the next request must not get it.
  it('are closed when bytes arrive while they are idle', async () => {
    await fetchText();
    const [first] = sockets;
    first.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra');
    await once(first, 'close');
    assert.equal(await fetchText(), 'ok');
    assert.equal(sockets.length, 2);
  });

  it('are not used after the other side closed them', async () => {
    await fetchText();
    sockets[0].end();
    await once(sockets[0], 'close');
    assert.equal(await fetchText(), 'ok');
  });

  it('say by their code that nothing was sent', async () => {
    const port = getPort();
    server.close();
    const outgoing = connections.openRequest('http:', {
      host: '127.0.0.1',
      port,
    });
    outgoing.end();
    const [error] = await once(outgoing, 'error');
    assert.equal(error.code, 'ECONNREFUSED');
  });

  it('fail when they are not established in time', async () => {
    const impatient = createHttpConnections({connectTimeoutMs: 0});
    const outgoing = impatient.openRequest('http:', {
      host: '127.0.0.1',
      port: getPort(),
    });
    outgoing.end();
    // The timer is due before the event loop can see that the connection is open.
    const until = performance.now() + 5;
    while (performance.now() < until);
    const [error] = await once(outgoing, 'error');
    assert.equal(error.code, 'ERR_CONNECT_TIMEOUT');
    impatient.close();
  });

  it('are counted by address', async () => {
    await fetchText();
    const [state] = Object.values(connections.describeState());
    assert.deepEqual(state, {busy: 0, idle: 1});
  });
});
