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

/**
 * Fakes a connection; `writableLength` is what its caller has not yet read of
 * `bytesWritten`.
 */
function makeConnection() {
  const socket = Object.assign(new EventEmitter(), {
    writableLength: 0,
    bytesWritten: 16_384,
    destroyed: false,
    writable: true,
    destroy() {
      socket.destroyed = true;
      response.emit('close');
    },
  });
  const response = Object.assign(new EventEmitter(), {
    headersSent: false,
    chunkedEncoding: true,
    writableEnded: false,
    destroy: () => response.emit('close'),
    headers: new Map<string, string>(),
    setHeader: (name: string, value: string) =>
      response.headers.set(name, value),
    getHeader: (name: string) => response.headers.get(name),
  });
  const request = {socket, url: '/v1/models', complete: true};
  return {
    socket,
    request,
    response,
    open: (exchanges: ReturnType<typeof createExchanges>) =>
      exchanges.open(
        request as unknown as IncomingMessage,
        response as unknown as ServerResponse,
      ),
  };
}

describe('exchanges', () => {
  function createFixture() {
    const clock = createVirtualClock();
    const exchanges = createExchanges(clock, createMetrics());
    return {clock, exchanges};
  }

  describe('a caller that stops reading', () => {
    // Such a caller would occupy a slot at the endpoint and the buffers of its
    // response. After 10 seconds without reading, its connection is closed,
    // which cancels its request.
    it('is disconnected', () => {
      const {clock, exchanges} = createFixture();
      const {socket, open} = makeConnection();
      const {signal} = open(exchanges)!;
      socket.writableLength = 16_384;
      clock.advance(SLOW_READ_TIMEOUT_MS);
      assert.equal(socket.destroyed, false);
      clock.advance(SLOW_READ_TIMEOUT_MS);
      assert.equal(socket.destroyed, true);
      assert.equal(signal.aborted, true);
      assert.equal(exchanges.count(), 0);
    });

    it('stays connected while it reads anything', () => {
      const {clock, exchanges} = createFixture();
      const {socket, open} = makeConnection();
      open(exchanges);
      for (let step = 0; step < 10; step++) {
        socket.writableLength = 16_384 - step;
        clock.advance(SLOW_READ_TIMEOUT_MS - 2000);
      }
      assert.equal(socket.destroyed, false);
    });

    it('stays connected while it reads as much as is added', () => {
      // With buffers of a fixed size, the number of unread bytes stays the same.
      const {clock, exchanges} = createFixture();
      const {socket, open} = makeConnection();
      open(exchanges);
      socket.writableLength = 16_384;
      for (let step = 0; step < 10; step++) {
        socket.bytesWritten += 16_384;
        clock.advance(SLOW_READ_TIMEOUT_MS - 2000);
      }
      assert.equal(socket.destroyed, false);
    });

    it('stays connected while its response has not started', () => {
      const {clock, exchanges} = createFixture();
      const {socket, open} = makeConnection();
      open(exchanges);
      clock.advance(100 * SLOW_READ_TIMEOUT_MS);
      assert.equal(socket.destroyed, false);
    });
  });

  it('send connection: close on open and new responses while draining', () => {
    const {exchanges} = createFixture();
    const before = makeConnection();
    const after = makeConnection();
    before.open(exchanges);
    exchanges.startDraining();
    after.open(exchanges);
    assert.equal(before.response.headers.get('connection'), 'close');
    assert.equal(after.response.headers.get('connection'), 'close');
  });

  it('abort open exchanges at the drain timeout with the error code draining', () => {
    const {exchanges} = createFixture();
    const {signal} = makeConnection().open(exchanges)!;
    exchanges.abortAll();
    assert.equal((signal.reason as RouterError).code, 'draining');
  });

  it('close complete responses that are unread at the drain timeout', () => {
    // No request waits for the signal of such a response, so the instance would
    // wait for its caller beyond the time it has to end.
    const {exchanges} = createFixture();
    const {response, open} = makeConnection();
    open(exchanges);
    response.writableEnded = true;
    exchanges.abortAll();
    assert.equal(exchanges.count(), 0);
  });

  it('never run a request whose rest is refused', () => {
    const {exchanges} = createFixture();
    const {socket, request, open} = makeConnection();
    const {signal} = open(exchanges)!;
    request.complete = false;
    assert.equal(exchanges.endReading(socket as unknown as Socket), false);
    assert.equal(signal.aborted, true);
  });

  it('close requests that are not received completely at the drain timeout', () => {
    const {exchanges} = createFixture();
    const {request, open} = makeConnection();
    open(exchanges);
    request.complete = false;
    exchanges.abortAll();
    assert.equal(exchanges.count(), 0);
  });
});

describe('answer writer', () => {
  it('waits for a caller that reads its response slowly', async () => {
    // Without back pressure, the instance would buffer the complete response.
    let takePiece = () => {};
    const response = new Writable({
      highWaterMark: 8,
      write: (_piece, _encoding, done) => void (takePiece = done),
    });
    const writer = createAnswerWriter(response as unknown as ServerResponse);
    assert.equal(writer.write('1234'), undefined);
    const drained = writer.write('56789');
    assert.ok(drained);
    takePiece();
    takePiece();
    await drained;
    assert.equal(writer.write('1'), undefined);
  });

  it('stops waiting when the caller disconnects', async () => {
    const response = new Writable({highWaterMark: 2, write: () => {}});
    const writer = createAnswerWriter(response as unknown as ServerResponse);
    const drained = writer.write('123');
    response.destroy();
    await assert.rejects(drained!, {code: 'cancelled'});
    assert.throws(() => writer.write('4'), {code: 'cancelled'});
  });
});

describe('malformed requests', () => {
  function refuseWith(code: string, hasAnswerBegun = false) {
    let written = '';
    let destroyed = false;
    const socket = {
      writable: true,
      end: (text: string) => void (written = text),
      destroy: () => void (destroyed = true),
    };
    const error = Object.assign(new Error(code), {code});
    const response = {
      headersSent: hasAnswerBegun,
      chunkedEncoding: true,
      destroy() {},
    };
    refuseMalformed(error, socket as unknown as Socket, {
      endReading: () => false,
      findResponse: () => response as unknown as ServerResponse,
    });
    return {written, destroyed};
  }

  it('that take too long to send get a 408 response', () => {
    const {written} = refuseWith('ERR_HTTP_REQUEST_TIMEOUT');
    assert.match(written, /^HTTP\/1.1 408 Request Timeout\r\n/);
    assert.match(written, /"code":"request_timeout"/);
  });

  it('get no error response once a response has started', () => {
    // The caller would read the refusal as part of that response.
    const {written, destroyed} = refuseWith('HPE_INVALID_METHOD', true);
    assert.deepEqual([written, destroyed], ['', true]);
  });
});
