import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {Writable} from 'node:stream';
import {describe, it} from 'node:test';
import type {RouterError} from '../../common/errors.js';
import {createMetrics} from '../../common/metrics.js';
import {createVirtualClock} from '../../common/virtual_clock.js';
import {createAnswerWriter} from './answer_writer.js';
import {SLOW_READ_TIMEOUT_MS} from './constants.js';
import {createExchanges} from './exchanges.js';
import {refuseMalformed} from './malformed_requests.js';

/** A connection whose reader takes nothing unless told. */
function makeConnection() {
  const socket = Object.assign(new EventEmitter(), {
    writableLength: 0,
    destroyed: false,
    destroy() {
      socket.destroyed = true;
      response.emit('close');
    },
  });
  const response = Object.assign(new EventEmitter(), {
    headersSent: false,
    headers: new Map<string, string>(),
    setHeader: (name: string, value: string) =>
      response.headers.set(name, value),
  });
  const request = {socket, url: '/v1/models'};
  return {
    socket,
    response,
    open: (exchanges: ReturnType<typeof createExchanges>) =>
      exchanges.open(
        request as unknown as IncomingMessage,
        response as unknown as ServerResponse,
      ),
  };
}

describe('exchanges', () => {
  function createAll() {
    const clock = createVirtualClock();
    const exchanges = createExchanges(clock, createMetrics());
    return {clock, exchanges};
  }

  describe('a caller that stops reading', () => {
    // Its slot at the endpoint and the buffers of its answer stay taken. After
    // ten seconds in which it took nothing, its connection is closed, which
    // cancels its request.
    it('is cut off', () => {
      const {clock, exchanges} = createAll();
      const {socket, open} = makeConnection();
      const {signal} = open(exchanges);
      socket.writableLength = 16_384;
      clock.advance(SLOW_READ_TIMEOUT_MS);
      assert.equal(socket.destroyed, false);
      clock.advance(SLOW_READ_TIMEOUT_MS);
      assert.equal(socket.destroyed, true);
      assert.equal(signal.aborted, true);
      assert.equal(exchanges.count(), 0);
    });

    it('is kept while it takes something', () => {
      const {clock, exchanges} = createAll();
      const {socket, open} = makeConnection();
      open(exchanges);
      for (let step = 0; step < 10; step++) {
        socket.writableLength = 16_384 - step;
        clock.advance(SLOW_READ_TIMEOUT_MS - 2000);
      }
      assert.equal(socket.destroyed, false);
    });

    it('is kept while its answer has not begun', () => {
      const {clock, exchanges} = createAll();
      const {socket, open} = makeConnection();
      open(exchanges);
      clock.advance(100 * SLOW_READ_TIMEOUT_MS);
      assert.equal(socket.destroyed, false);
    });
  });

  it('say on open and new answers that the connection closes', () => {
    const {exchanges} = createAll();
    const before = makeConnection();
    const after = makeConnection();
    before.open(exchanges);
    exchanges.startDraining();
    after.open(exchanges);
    assert.equal(before.response.headers.get('connection'), 'close');
    assert.equal(after.response.headers.get('connection'), 'close');
  });

  it('tell what is still open at the bound why it ends', () => {
    const {exchanges} = createAll();
    const {signal} = makeConnection().open(exchanges);
    exchanges.endAll();
    assert.equal((signal.reason as RouterError).code, 'draining');
  });
});

describe('answer writer', () => {
  it('waits for a caller that takes its answer slowly', async () => {
    // The instance would hold the whole answer in memory for it.
    let takePiece = () => {};
    const response = new Writable({
      highWaterMark: 8,
      write: (_piece, _encoding, done) => void (takePiece = done),
    });
    const writer = createAnswerWriter(response as unknown as ServerResponse);
    assert.equal(writer.write('1234'), undefined);
    const full = writer.write('56789');
    assert.ok(full);
    takePiece();
    takePiece();
    await full;
    assert.equal(writer.write('1'), undefined);
  });

  it('ends the wait when the caller leaves', async () => {
    const response = new Writable({highWaterMark: 2, write: () => {}});
    const writer = createAnswerWriter(response as unknown as ServerResponse);
    const full = writer.write('123');
    response.destroy();
    await assert.rejects(full!, {code: 'cancelled'});
    assert.throws(() => writer.write('4'), {code: 'cancelled'});
  });
});

describe('malformed requests', () => {
  function refuse(code: string, hasAnswerBegun = false) {
    let written = '';
    let destroyed = false;
    const socket = {
      writable: true,
      end: (text: string) => void (written = text),
      destroy: () => void (destroyed = true),
    };
    const error = Object.assign(new Error(code), {code});
    refuseMalformed(error, socket as unknown as Socket, hasAnswerBegun);
    return {written, destroyed};
  }

  it('that take too long to send are told so', () => {
    const {written} = refuse('ERR_HTTP_REQUEST_TIMEOUT');
    assert.match(written, /^HTTP\/1.1 408 Request Timeout\r\n/);
    assert.match(written, /"code":"request_timeout"/);
  });

  it('get nothing into an answer that has begun', () => {
    // The caller would read the refusal as part of the answer.
    const {written, destroyed} = refuse('HPE_INVALID_METHOD', true);
    assert.deepEqual([written, destroyed], ['', true]);
  });
});
