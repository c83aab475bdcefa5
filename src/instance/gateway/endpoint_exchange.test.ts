/** Responses whose bodies are read without the HTTP parser, or in ticks. */
import assert from 'node:assert/strict';
import {createServer, type Server, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {
  createHttpConnections,
  type HttpConnections,
} from '../../common/http_connections.js';
import {listenServer} from '../../common/listen.js';
import {openExchange, type EndpointExchange} from './endpoint_exchange.js';

const HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const LAST_CHUNK = '0\r\n\r\n';

/** Longer than a test may take, so that no test waits for a tick. */
const READ_TICK_MS = 200_000;

function encodeChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

describe('exchange', () => {
  let server: Server;
  let address: string;
  let connections: HttpConnections;
  let endpoints: Socket[];
  let received: string[];
  let handleReceived: (text: string) => void;

  beforeEach(async () => {
    endpoints = [];
    received = [];
    server = createServer(socket => {
      endpoints.push(socket);
      socket.on('data', () => socket.write(HEAD + encodeChunk('one ')));
    });
    address = await listenServer(server, 'endpoint', '127.0.0.1', 0);
    connections = createHttpConnections({
      connectTimeoutMs: 1000,
      readTickMs: READ_TICK_MS,
    });
  });

  afterEach(() => {
    connections.close();
    for (const socket of endpoints) socket.destroy();
    server.close();
  });

  /** Resolves when the first bytes of the body were delivered. */
  async function openAndAwaitFirst(
    isReadInTicks = true,
  ): Promise<EndpointExchange> {
    received = [];
    const first = new Promise<void>(resolve => {
      handleReceived = () => resolve();
    });
    const exchange = openExchange(
      connections,
      {
        address,
        method: 'POST',
        target: '/',
        headers: ['Host', 'h'],
        body: Buffer.from('x'),
        isReadInTicks,
      },
      {
        onHead() {},
        onData(chunk) {
          received.push(chunk.toString());
          handleReceived(chunk.toString());
        },
      },
    );
    await first;
    return exchange;
  }

  // An endpoint dies between two ticks: events it sent would be generated again, and
  // the item would wait for the tick before it is sent elsewhere.
  it('uses all received bytes and ends at once when the endpoint dies', async () => {
    const exchange = await openAndAwaitFirst();
    endpoints[0].end(encodeChunk('two ') + encodeChunk('three'));
    const ended = await exchange.ended;
    assert.deepEqual(received, ['one ', 'two three']);
    assert.equal(ended.kind, 'broken');
    assert.equal(ended.kind === 'broken' && ended.isConnectionLost, true);
  });

  it('ends at once when the connection is reset', async () => {
    const exchange = await openAndAwaitFirst();
    endpoints[0].resetAndDestroy();
    const ended = await exchange.ended;
    assert.equal(ended.kind === 'broken' && ended.isConnectionLost, true);
  });

  // A slot that is released only at the next tick is idle until then.
  it('ends a complete response at once and reuses the connection', async () => {
    for (let round = 0; round < 2; round++) {
      const exchange = await openAndAwaitFirst();
      endpoints[0].write(encodeChunk('two ') + LAST_CHUNK);
      assert.deepEqual(await exchange.ended, {kind: 'complete'});
      assert.deepEqual(received, ['one ', 'two ']);
      // The connection is idle only after the end of the response was handled.
      await new Promise(resolve => setImmediate(resolve));
    }
    assert.equal(endpoints.length, 1);
  });

  // Bytes that arrive together with the first ones are not followed by a read.
  it('ends a response that arrives in one read', async () => {
    server.removeAllListeners('connection');
    server.on('connection', (socket: Socket) => {
      endpoints.push(socket);
      const text = HEAD + encodeChunk('one ') + encodeChunk('two') + LAST_CHUNK;
      socket.on('data', () => socket.write(text));
    });
    const exchange = await openAndAwaitFirst();
    assert.deepEqual(await exchange.ended, {kind: 'complete'});
    assert.deepEqual(received, ['one ', 'two']);
  });

  it('delivers nothing after the listener rejected data', async () => {
    const exchange = await openAndAwaitFirst();
    handleReceived = () => {
      throw new Error('rejected');
    };
    endpoints[0].write(encodeChunk('two ') + LAST_CHUNK);
    const ended = await exchange.ended;
    assert.equal(ended.kind === 'broken' && ended.error.message, 'rejected');
    assert.deepEqual(received, ['one ', 'two ']);
  });

  it('delivers each event as it arrives if it is not read in ticks', async () => {
    const exchange = await openAndAwaitFirst(false);
    for (const text of ['two ', 'three ']) {
      const delivered = new Promise(resolve => {
        handleReceived = resolve;
      });
      endpoints[0].write(encodeChunk(text));
      assert.equal(await delivered, text);
    }
    endpoints[0].write(LAST_CHUNK);
    assert.deepEqual(await exchange.ended, {kind: 'complete'});
  });

  // Bytes of a chunk whose end never arrives belong to the response all the same.
  it('uses the bytes of a chunk that is cut off', async () => {
    const exchange = await openAndAwaitFirst(false);
    endpoints[0].end(encodeChunk('two ') + '5\r\nthr');
    assert.equal((await exchange.ended).kind, 'broken');
    assert.equal(received.join(''), 'one two thr');
  });

  it('reads chunks with extensions', async () => {
    const exchange = await openAndAwaitFirst(false);
    endpoints[0].write(encodeChunk('two ') + '3;a=b\r\nend\r\n' + LAST_CHUNK);
    assert.deepEqual(await exchange.ended, {kind: 'complete'});
    assert.equal(received.join(''), 'one two end');
  });

  // A caller that reads slowly would otherwise fill the memory of the instance.
  it('reads nothing while it is paused', async () => {
    const exchange = await openAndAwaitFirst(false);
    exchange.pause();
    const chunk = encodeChunk('x'.repeat(4000));
    const isTaken = () => endpoints[0].write(chunk);
    while (isTaken()) assert.equal(received.length, 1);
    const written = endpoints[0].bytesWritten;
    await new Promise(resolve => setImmediate(resolve));
    assert.equal(received.length, 1);
    exchange.resume();
    endpoints[0].write(LAST_CHUNK);
    assert.deepEqual(await exchange.ended, {kind: 'complete'});
    assert.ok(received.join('').length * 1.1 > written);
  });
});
