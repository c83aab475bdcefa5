/** Kept connections that must not be used again. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {AddressInfo, Server as TcpServer, Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {createServer as createTlsServer} from 'node:tls';
import {createHttpConnections} from './http_connections.js';
import {findFraming} from './response_framing.js';

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

  // Listeners that pile up on a kept connection cost memory and time until it closes.
  it('have the same number of listeners after each use', async () => {
    const counts = [];
    for (let use = 0; use < 12; use++) {
      const outgoing = connections.openRequest('http:', {
        host: '127.0.0.1',
        port: getPort(),
      });
      outgoing.end();
      const [response] = (await once(outgoing, 'response')) as [
        IncomingMessage,
      ];
      counts.push(response.socket.listenerCount('error'));
      response.resume();
      await once(outgoing, 'close');
    }
    assert.equal(sockets.length, 1);
    assert.equal(new Set(counts.slice(1)).size, 1, counts.join());
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

  describe('end', () => {
    const WHOLE_END = 'HTTP/1.1 200 OK\r\n\r\nbody';

    /** The end of a connection after a response that `end` breaks off or ends. */
    async function readEnd(end: (socket: Socket) => void) {
      server.removeAllListeners('request');
      server.on('request', ({socket}) => {
        socket.write(WHOLE_END);
        end(socket);
      });
      const outgoing = connections.openRequest('http:', {
        host: '127.0.0.1',
        port: getPort(),
      });
      outgoing.end();
      const [response] = (await once(outgoing, 'response')) as [
        IncomingMessage,
      ];
      const {socket} = response;
      outgoing.on('error', () => {});
      response.on('error', () => {}).resume();
      await new Promise(resolve => socket.on('close', resolve));
      return connections.findConnectionEnd(socket);
    }

    it('is orderly if the other side closes the connection', async () => {
      assert.equal(await readEnd(socket => socket.end()), 'closed');
    });

    // Node.js reports the end of the stream and no error if the reset is received
    // together with bytes.
    it('is a reset if the reset is received with the last bytes', async () => {
      const end = await readEnd(socket => socket.resetAndDestroy());
      assert.equal(end, 'reset');
    });

    it('is a reset if the reset is received alone', async () => {
      const end = await readEnd(socket =>
        setTimeout(() => socket.resetAndDestroy(), 20),
      );
      assert.equal(end, 'reset');
    });
  });

  describe('over TLS', () => {
    const psk = Buffer.from('secret of the test');
    const ciphers = 'PSK-AES128-GCM-SHA256';
    let secureServer: TcpServer;
    let bytes: string;
    let end: (secured: Socket, plain: Socket) => void;

    beforeEach(async () => {
      let plain: Socket;
      secureServer = createTlsServer(
        {ciphers, maxVersion: 'TLSv1.2', pskCallback: () => psk},
        secured => {
          secured.on('error', () => {});
          secured.once('data', () =>
            secured.write(bytes, () => end(secured, plain)),
          );
        },
      );
      secureServer.on('connection', (socket: Socket) => {
        plain = socket.on('error', () => {});
      });
      secureServer.listen(0, '127.0.0.1');
      await once(secureServer, 'listening');
    });

    afterEach(() => secureServer.close());

    /** Resolves to whether the response is whole. */
    function read(): Promise<boolean> {
      const outgoing = connections.openRequest('https:', {
        host: '127.0.0.1',
        port: (secureServer.address() as AddressInfo).port,
        ciphers,
        maxVersion: 'TLSv1.2',
        checkServerIdentity: () => undefined,
        pskCallback: () => ({identity: 'test', psk}),
      } as never);
      outgoing.end();
      return new Promise(resolve => {
        outgoing.on('error', () => resolve(false));
        outgoing.on('response', response => {
          const framing = findFraming(response, 'GET');
          response.on('error', () => resolve(false)).resume();
          response.on('end', () =>
            resolve(connections.isWhole(response, framing)),
          );
        });
      });
    }

    const endings = {
      'with a close alert': (secured: Socket) => void secured.end(),
      // Anyone on the way can close a connection, but cannot forge the alert.
      'without a close alert': (_secured: Socket, plain: Socket) =>
        void plain.end(),
    };
    for (const [name, ending] of Object.entries(endings)) {
      it(`a response without a length is not whole if closed ${name}`, async () => {
        bytes = 'HTTP/1.1 200 OK\r\n\r\nbody';
        end = ending;
        assert.equal(await read(), false);
      });

      it(`a short response with a length is not whole if closed ${name}`, async () => {
        bytes = 'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody';
        end = ending;
        assert.equal(await read(), false);
      });

      it(`a response with its length is whole if closed ${name}`, async () => {
        bytes = 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody';
        end = ending;
        assert.equal(await read(), true);
      });
    }
  });
});
