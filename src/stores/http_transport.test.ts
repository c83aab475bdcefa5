/** Responses of the store that are broken off. */
import assert from 'node:assert/strict';
import {createServer, type Server, type Socket} from 'node:net';
import {after, afterEach, before, beforeEach, describe, it} from 'node:test';
import {listenServer} from '../common/listen.js';
import {createHttpTransport, type HttpTransport} from './http_transport.js';
import {StoreFailure} from './store_failure.js';

const TIMEOUT_MS = 5000;
const BODY = 'a stored object';
const OK = 'HTTP/1.1 200 OK\r\n';
const WITH_LENGTH = `${OK}Content-Length: ${BODY.length}\r\n\r\n`;
const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n`;
const WITHOUT_EITHER = `${OK}\r\n`;
const CHUNK = `${BODY.length.toString(16)}\r\n${BODY}\r\n`;

interface ResponseCase {
  name: string;
  bytes: string;
  end: (socket: Socket) => unknown;
  isWhole: boolean;
}

const close = (socket: Socket) => socket.end();
const reset = (socket: Socket) => socket.resetAndDestroy();
const keepOpen = () => {};

const CASES: ResponseCase[] = [
  {
    name: 'a whole one with a length',
    bytes: WITH_LENGTH + BODY,
    end: keepOpen,
    isWhole: true,
  },
  {
    name: 'a short one with a length, closed',
    bytes: WITH_LENGTH + BODY.slice(1),
    end: close,
    isWhole: false,
  },
  {
    name: 'a short one with a length, reset',
    bytes: WITH_LENGTH + BODY.slice(1),
    end: reset,
    isWhole: false,
  },
  {
    name: 'a whole one in chunks',
    bytes: `${CHUNKED}${CHUNK}0\r\n\r\n`,
    end: keepOpen,
    isWhole: true,
  },
  {
    name: 'one in chunks without the last, closed',
    bytes: CHUNKED + CHUNK,
    end: close,
    isWhole: false,
  },
  {
    name: 'one in chunks without the last, reset',
    bytes: CHUNKED + CHUNK,
    end: reset,
    isWhole: false,
  },
  {
    name: 'one without a length or chunks, closed',
    bytes: WITHOUT_EITHER + BODY,
    end: close,
    isWhole: true,
  },
  // Guards against the start of a stored object that is read as the object.
  {
    name: 'one without a length or chunks, reset',
    bytes: WITHOUT_EITHER + BODY.slice(1),
    end: reset,
    isWhole: false,
  },
];

describe('response of the store', () => {
  let server: Server;
  let url: string;
  let transport: HttpTransport;
  let current: ResponseCase;

  before(async () => {
    server = createServer(socket => {
      socket.on('error', () => {});
      socket.once('data', () => {
        socket.write(current.bytes);
        current.end(socket);
      });
    });
    url = `http://${await listenServer(server, 'store', '127.0.0.1', 0)}/`;
  });

  beforeEach(() => {
    transport = createHttpTransport(TIMEOUT_MS);
  });

  afterEach(() => transport.close());

  after(() => server.close());

  for (const responseCase of CASES) {
    const {name, isWhole} = responseCase;
    it(`is ${isWhole ? 'used' : 'a failure'}: ${name}`, async () => {
      current = responseCase;
      const sent = transport.send({method: 'GET', url, headers: {}});
      if (isWhole) {
        assert.equal((await sent).body.toString(), BODY);
        return;
      }
      await assert.rejects(sent, (error: unknown) => {
        assert.ok(error instanceof StoreFailure);
        assert.equal(error.effect, 'unknown');
        assert.equal(error.retryable, true);
        return true;
      });
    });
  }
});
