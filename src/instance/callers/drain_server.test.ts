import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {describe, it} from 'node:test';
import {createSystemClock} from '../../common/clock.js';
import {listenServer} from '../../common/listen.js';
import {createMetrics} from '../../common/metrics.js';
import {drainServer} from './drain_server.js';
import {createExchanges} from './exchanges.js';

/** More than the buffers of a connection hold. */
const LARGE_BYTES = 16 * 1024 * 1024;

const REQUEST = 'GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n';
const TIMEOUT_MS = 5000;

/** Starts a server whose responses `respond` sends. */
async function startServer(respond: (response: ServerResponse) => void) {
  const clock = createSystemClock();
  const exchanges = createExchanges(clock, createMetrics());
  const server = createServer((request, response) => {
    if (exchanges.open(request, response)) respond(response);
  });
  const address = await listenServer(server, 'callers', '127.0.0.1', 0);
  return {
    drain: (timeoutMs = TIMEOUT_MS) =>
      drainServer(server, exchanges, clock, timeoutMs),
    open(): Socket {
      const [host, port] = address.split(':');
      return connect({host, port: Number(port)});
    },
  };
}

/** Counts the bytes until the connection ends. */
async function countBytes(socket: Socket): Promise<number> {
  let count = 0;
  socket.on('data', (chunk: Buffer) => (count += chunk.length));
  socket.resume();
  await once(socket, 'close');
  return count;
}

describe('draining a server', () => {
  // Guards against a complete response that is cut off because its caller had not
  // read all of it when the server began to drain.
  it('sends the rest of responses that have ended', async () => {
    let noteEnded = () => {};
    const ended = new Promise<void>(resolve => (noteEnded = resolve));
    const {drain, open} = await startServer(response => {
      response.setHeader('content-length', LARGE_BYTES);
      response.end(Buffer.alloc(LARGE_BYTES));
      noteEnded();
    });
    const socket = open();
    socket.pause();
    socket.write(REQUEST);
    await ended;
    const drained = drain();
    assert.ok((await countBytes(socket)) > LARGE_BYTES);
    await drained;
  });

  // Guards against the reset of callers that connected while a busy process had no turn.
  it('answers what has arrived before it stops to listen', async () => {
    const {drain, open} = await startServer(response => void response.end('a'));
    const sockets = Array.from({length: 10}, () => open());
    for (const socket of sockets) socket.write(REQUEST);
    // The connections are established now, and wait to be accepted.
    await new Promise(resolve => process.nextTick(resolve));
    const drained = drain();
    for (const bytes of await Promise.all(sockets.map(countBytes))) {
      assert.ok(bytes > 0);
    }
    await drained;
  });

  it('closes connections between two requests at once', async () => {
    const {drain, open} = await startServer(response => void response.end('a'));
    const socket = open();
    socket.write(REQUEST);
    await once(socket, 'data');
    await drain();
    assert.equal(await countBytes(socket), 0);
  });

  // Guards against an instance that never ends because of one request.
  it('ends although a handler does not react to the drain timeout', async () => {
    let noteArrived = () => {};
    const arrived = new Promise<void>(resolve => (noteArrived = resolve));
    const {drain, open} = await startServer(() => noteArrived());
    const socket = open();
    socket.write(REQUEST);
    await arrived;
    await drain(1);
    assert.equal(await countBytes(socket), 0);
  });
});
