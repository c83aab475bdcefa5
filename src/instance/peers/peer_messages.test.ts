/** Frames that a faulty peer sends must not end the instance that reads them. */
import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import type {IncomingMessage} from 'node:http';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {WebSocket} from 'ws';
import {createVirtualClock} from '../../common/virtual_clock.js';
import {PeerCallError} from './peer_call.js';
import {createPeerConnection} from './peer_connection.js';
import {buildPeerRouterOf, peerProcedure} from './peer_procedures.js';
import {serveConnection} from './peer_responder.js';

/** A socket whose other end is the test. */
class FakeSocket extends EventEmitter {
  readonly OPEN = 1;
  readyState = 1;
  sent: string[] = [];
  send(frame: string) {
    this.sent.push(frame);
  }
  close() {
    this.emit('close');
  }
  terminate() {
    this.emit('close');
  }
}

/** Arbitrary text, arbitrary JSON, and messages with one wrong field. */
const frames = fc.oneof(
  fc.string(),
  fc.json(),
  fc
    .record({
      id: fc.oneof(fc.integer(), fc.constant(null), fc.string()),
      method: fc.oneof(fc.constantFrom('query', 'mutation'), fc.string()),
      params: fc.oneof(fc.record({path: fc.string()}), fc.jsonValue()),
      result: fc.jsonValue(),
      error: fc.jsonValue(),
    })
    .map(message => JSON.stringify(message)),
);

describe('frames of a faulty peer', () => {
  it('never throw in the instance that answers calls', () => {
    const router = buildPeerRouterOf({greet: peerProcedure.query(() => 'hi')});
    fc.assert(
      fc.property(frames, frame => {
        const socket = new FakeSocket();
        const request = {headers: {}} as IncomingMessage;
        serveConnection(router, socket as unknown as WebSocket, request);
        socket.emit('message', Buffer.from(frame));
      }),
    );
  });

  it('never throw in the instance that called, and its calls end', async () => {
    const call = {
      method: 'query' as const,
      path: 'greet',
      input: '',
      timeoutMs: 700,
    };
    await fc.assert(
      fc.asyncProperty(frames, async frame => {
        const clock = createVirtualClock();
        const socket = new FakeSocket();
        const connection = createPeerConnection(
          clock,
          () => socket as unknown as WebSocket,
          () => {},
        );
        const answer = connection.call(call).then(
          () => true,
          error => error instanceof Error,
        );
        socket.emit('open');
        socket.emit('message', Buffer.from(frame));
        connection.close();
        assert.equal(await answer, true);
      }),
    );
  });

  // The calls behind an unreadable frame would wait for their timeout on a
  // connection that cannot be relied on.
  it('fail the calls in flight at once when they cannot be read', async () => {
    const socket = new FakeSocket();
    const connection = createPeerConnection(
      createVirtualClock(),
      () => socket as unknown as WebSocket,
      () => {},
    );
    const call = connection.call({
      method: 'query',
      path: 'greet',
      input: '',
      timeoutMs: 700,
    });
    socket.emit('open');
    socket.emit('message', Buffer.from('{"id":'));
    await assert.rejects(call, PeerCallError);
  });
});
