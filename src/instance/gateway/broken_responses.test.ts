/** Responses with neither a length nor chunks, which end with their connection. */
import assert from 'node:assert/strict';
import {createServer, type Server, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {
  createHttpConnections,
  type HttpConnections,
} from '../../common/http_connections.js';
import {listenServer} from '../../common/listen.js';
import {openExchange, type ExchangeEnd} from './endpoint_exchange.js';

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n';
const EVENT = 'id: 1\ndata: one\n\n';

/** Larger than the buffers of a connection, so that it takes many reads. */
const LARGE_BODY = EVENT.repeat(400_000);

/** Time in which bytes are read before the connection ends, in ms. */
const END_PAUSE_MS = 20;

const PARALLEL_REQUESTS = 40;

/** Ways in which an endpoint ends its response. */
const ENDINGS = {
  'with the first bytes': async (socket: Socket, end: () => void) => {
    socket.write(HEAD + EVENT);
    end();
  },
  'with the last bytes': async (socket: Socket, end: () => void) => {
    socket.write(HEAD + EVENT);
    await wait(END_PAUSE_MS);
    socket.write(EVENT);
    end();
  },
  'after the last bytes': async (socket: Socket, end: () => void) => {
    socket.write(HEAD + EVENT);
    await wait(END_PAUSE_MS);
    end();
  },
  'before the body': async (socket: Socket, end: () => void) => {
    socket.write(HEAD);
    end();
  },
  'after a large body': async (socket: Socket, end: () => void) => {
    socket.write(HEAD + LARGE_BODY, end);
  },
};

describe('a response without a length or chunks', () => {
  let server: Server;
  let address: string;
  let connections: HttpConnections;
  let respond: (socket: Socket) => void;

  beforeEach(async () => {
    server = createServer(socket => {
      socket.on('error', () => {});
      socket.once('data', () => respond(socket));
    });
    address = await listenServer(server, 'endpoint', '127.0.0.1', 0);
    connections = createHttpConnections({connectTimeoutMs: 1000});
  });

  afterEach(() => {
    connections.close();
    server.close();
  });

  function openRequest(isReadInTicks: boolean): Promise<ExchangeEnd> {
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
      {onHead() {}, onData() {}},
    );
    return exchange.ended;
  }

  for (const isReadInTicks of [false, true]) {
    describe(isReadInTicks ? 'read in ticks' : 'read as it arrives', () => {
      for (const [when, end] of Object.entries(ENDINGS)) {
        // Guards against a crashed endpoint's response that its caller gets as complete.
        it(`is broken if its connection is reset ${when}`, async () => {
          respond = socket => void end(socket, () => socket.resetAndDestroy());
          const ended = await openRequest(isReadInTicks);
          assert.equal(ended.kind, 'broken');
          assert.ok(ended.kind === 'broken' && ended.isConnectionLost);
        });

        it(`is complete if its connection is closed ${when}`, async () => {
          respond = socket => void end(socket, () => socket.end());
          const ended = await openRequest(isReadInTicks);
          assert.deepEqual(ended, {kind: 'complete'});
        });
      }
    });
  }

  // Guards against a reset that is recognized only while the instance is idle.
  it('is broken if many are reset while the process is busy', async () => {
    respond = socket =>
      void ENDINGS['with the first bytes'](socket, () =>
        socket.resetAndDestroy(),
      );
    const requests = Array.from({length: PARALLEL_REQUESTS}, () =>
      openRequest(false),
    );
    const busyUntil = performance.now() + END_PAUSE_MS;
    setImmediate(() => {
      while (performance.now() < busyUntil);
    });
    const kinds = (await Promise.all(requests)).map(({kind}) => kind);
    assert.deepEqual(new Set(kinds), new Set(['broken']));
  });
});
