/**
 * Calls over a connection that fails in various ways, on virtual time, and calls
 * between this client and server and those of tRPC, which earlier versions use.
 */
import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {describe, it} from 'node:test';
import {createTRPCClient, createWSClient, wsLink} from '@trpc/client';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import {WebSocket, WebSocketServer} from 'ws';
import {createSystemClock} from '../../common/clock.js';
import {createVirtualClock} from '../../common/virtual_clock.js';
import {
  MAX_CALLS_IN_FLIGHT,
  PING_INTERVAL_MS,
  PONG_TIMEOUT_MS,
} from './constants.js';
import {PeerResponseError} from './peer_call.js';
import {createPeerConnection, type PeerCall} from './peer_connection.js';
import type {CallMessage} from './peer_messages.js';
import {buildPeerRouterOf, peerProcedure} from './peer_procedures.js';
import {serveConnection} from './peer_responder.js';

const TIMEOUT_MS = 700;
const CALL: PeerCall = {
  method: 'query',
  path: 'greet',
  input: 'a',
  timeoutMs: TIMEOUT_MS,
};

/** A socket whose other end is played by the test. */
class FakeSocket extends EventEmitter {
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
  respond(data: unknown, index = 0) {
    const {id} = JSON.parse(this.sent[index]) as CallMessage;
    const response = {id, result: {type: 'data', data}};
    this.emit('message', Buffer.from(JSON.stringify(response)));
  }
}

function startConnection() {
  const clock = createVirtualClock();
  const sockets: FakeSocket[] = [];
  const state = {silent: 0};
  const connection = createPeerConnection(
    clock,
    () => {
      const socket = new FakeSocket();
      sockets.push(socket);
      return socket as unknown as WebSocket;
    },
    () => state.silent++,
  );
  return {clock, sockets, state, connection};
}

describe('connection to a peer', () => {
  it('opens for the first call and answers several at once', async () => {
    const {sockets, connection} = startConnection();
    const answers = [connection.call(CALL), connection.call(CALL)];
    assert.equal(sockets.length, 1);
    sockets[0].emit('open');
    sockets[0].respond('second', 1);
    sockets[0].respond('first', 0);
    assert.deepEqual(await Promise.all(answers), ['first', 'second']);
  });

  // A call that waits for a response that never comes would time out, and the
  // connection would be replaced as silent.
  it('ends a notice when it is sent, also if the connection opens later', async () => {
    const {clock, sockets, state, connection} = startConnection();
    const notice = {...CALL, isNotice: true};
    const early = connection.call(notice);
    sockets[0].emit('open');
    const late = connection.call(notice);
    assert.deepEqual(await Promise.all([early, late]), [undefined, undefined]);
    assert.equal(sockets[0].sent.length, 2);
    clock.advance(TIMEOUT_MS);
    assert.equal(state.silent, 0);
  });

  it('ignores the response of an earlier version to a notice', async () => {
    const {sockets, connection} = startConnection();
    const notice = connection.call({...CALL, isNotice: true});
    sockets[0].emit('open');
    await notice;
    const answer = connection.call(CALL);
    sockets[0].respond('to the notice', 0);
    sockets[0].respond('to the call', 1);
    assert.equal(await answer, 'to the call');
  });

  // A call that may have reached the peer must not count as unsent: its caller would
  // take a write that was done for one that was not.
  it('tells whether a call that failed was sent', async () => {
    const {clock, sockets, connection} = startConnection();
    const unsent = connection.call(CALL);
    clock.advance(TIMEOUT_MS);
    await assert.rejects(unsent, {name: 'PeerCallError', sent: false});
    const sent = connection.call(CALL);
    sockets[0].emit('open');
    sockets[0].close();
    await assert.rejects(sent, {name: 'PeerCallError', sent: true});
  });

  it('sends a waiting call once a later attempt succeeds', async () => {
    const {clock, sockets, connection} = startConnection();
    const answer = connection.call(CALL);
    sockets[0].close();
    sockets[1].close();
    clock.advance(100);
    sockets[2].emit('open');
    sockets[2].respond('late');
    assert.equal(await answer, 'late');
  });

  // Without a pause, all instances would connect to a dead peer in a loop.
  it('pauses between failed attempts, and stops when no call waits', async () => {
    const {clock, sockets, connection} = startConnection();
    const failed = connection.call(CALL).catch(() => 'failed');
    for (let ms = 0; ms < 5000; ms++) {
      sockets.at(-1)!.close();
      clock.advance(1);
    }
    assert.equal(await failed, 'failed');
    assert.ok(sockets.length < 10, `${sockets.length} attempts`);
  });

  it('reports silence only if nothing was received since the call', async () => {
    const {clock, sockets, state, connection} = startConnection();
    const first = connection.call(CALL).catch(() => {});
    sockets[0].emit('open');
    clock.advance(10);
    const second = connection.call(CALL).catch(() => {});
    clock.advance(10);
    sockets[0].respond('x', 0);
    clock.advance(TIMEOUT_MS);
    await Promise.all([first, second]);
    assert.equal(state.silent, 0);
    const third = connection.call(CALL).catch(() => {});
    clock.advance(TIMEOUT_MS);
    await third;
    assert.equal(state.silent, 1);
  });

  it('closes when a ping is not answered', async () => {
    const {clock, sockets, connection} = startConnection();
    const answer = connection.call(CALL);
    sockets[0].emit('open');
    sockets[0].respond('x');
    await answer;
    clock.advance(PING_INTERVAL_MS + PONG_TIMEOUT_MS);
    assert.equal(sockets[0].sent.at(-1), 'PING');
    assert.equal(connection.isOpen(), false);
  });

  it('refuses calls beyond the limit without sending them', async () => {
    const {connection} = startConnection();
    const calls = Array.from({length: MAX_CALLS_IN_FLIGHT}, () =>
      connection.call(CALL).catch(() => {}),
    );
    await assert.rejects(connection.call(CALL), {sent: false});
    connection.close();
    await Promise.all(calls);
  });
});

describe('calls between versions', () => {
  const router = buildPeerRouterOf({
    greet: peerProcedure.query(() => ({hello: 'peer'})),
    fail: peerProcedure.mutation(() => {
      throw new Error('on purpose');
    }),
  });

  async function startServer(
    serve: (sockets: WebSocketServer) => void,
  ): Promise<{url: string; close: () => void}> {
    const server = createServer();
    const sockets = new WebSocketServer({server});
    serve(sockets);
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    return {
      url: `ws://127.0.0.1:${port}`,
      close() {
        for (const socket of sockets.clients) socket.terminate();
        server.close();
      },
    };
  }

  function serveOwn(sockets: WebSocketServer) {
    sockets.on('connection', (socket, request) =>
      serveConnection(router, socket, request),
    );
  }

  function serveEarlier(wss: WebSocketServer) {
    const createContext = () => ({peerName: '', peerIncarnation: ''});
    applyWSSHandler({wss, router, createContext});
  }

  for (const [name, serve] of [
    ['of this version', serveOwn],
    ['of an earlier version', serveEarlier],
  ] as const) {
    it(`reach an instance ${name}`, async () => {
      const server = await startServer(serve);
      const connection = createPeerConnection(
        createSystemClock(),
        () => new WebSocket(server.url),
        () => {},
      );
      assert.deepEqual(await connection.call(CALL), {hello: 'peer'});
      const failing = {...CALL, method: 'mutation', path: 'fail'} as const;
      await assert.rejects(connection.call(failing), PeerResponseError);
      connection.close();
      server.close();
    });
  }

  it('are answered if an instance of an earlier version sends them', async () => {
    const server = await startServer(serveOwn);
    const socket = createWSClient({
      url: server.url,
      WebSocket: WebSocket as never,
    });
    const client = createTRPCClient<typeof router>({
      links: [wsLink({client: socket})],
    });
    const both = [client.greet.query(), client.greet.query()];
    assert.deepEqual(await Promise.all(both), [
      {hello: 'peer'},
      {hello: 'peer'},
    ]);
    await assert.rejects(client.fail.mutate(), /on purpose/);
    await socket.close();
    server.close();
  });
});
