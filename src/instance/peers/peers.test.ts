/**
 * Procedure calls between two instances over loopback, and clients that must be
 * rejected.
 */
import assert from 'node:assert/strict';
import {
  connect as connectTcp,
  createServer,
  type Server,
  type Socket,
} from 'node:net';
import {once} from 'node:events';
import {connect as connectTls} from 'node:tls';
import {after, afterEach, before, beforeEach, describe, it} from 'node:test';
import {WebSocket} from 'ws';
import {createVirtualClock} from '../../common/virtual_clock.js';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import {createMembers, type SelfDescription} from '../members/members.js';
import {CALL_TIMEOUT_MS, MAX_FRAME_BYTES, PEER_CIPHERS} from './constants.js';
import {createPeerClients, type PeerClients} from './peer_client.js';
import {
  createGeneratedPeerKeys,
  createPeerKeys,
  type PeerKeys,
} from './peer_keys.js';
import {PeerCallError} from './peer_call.js';
import {buildPeerRouter} from './peer_router.js';
import {startPeerServer, type PeerServer} from './peer_server.js';

const KEY = 'the-key-of-this-fleet-0123456789abcdef';
const NEXT_KEY = 'the-next-key-of-this-fleet-0123456789';
const keys = createPeerKeys(KEY);

function makeSelf(name: string): SelfDescription {
  return {
    name,
    address: '127.0.0.1:0',
    region: 'klang',
    failureDomain: 'klang-a',
    incarnation: `run-of-${name}`,
  };
}

function startServer(serverKeys: PeerKeys): Promise<PeerServer> {
  const platform = createMemoryPlatform();
  const members = createMembers(makeSelf('entry-2'), platform.instances);
  return startPeerServer(
    '127.0.0.1',
    0,
    buildPeerRouter({
      members,
      dispatch: {} as never,
      configuration: {} as never,
      limits: {} as never,
    }),
    serverKeys,
  );
}

async function sendHeartbeat(clients: PeerClients, address: string) {
  const input = {name: 'entry-1', incarnation: 'run-of-entry-1'};
  const answer = await clients.get(address).members.heartbeat.mutate(input);
  return answer.incarnation;
}

function splitHostPort(address: string) {
  const [host, port] = address.split(':');
  return {host, port: Number(port)};
}

/**
 * Creates clients whose calls time out on virtual time only, so that a slow
 * machine causes no failures.
 */
function createVirtualTimeClients(
  clientKeys: PeerKeys,
  clock = createVirtualClock(),
): PeerClients {
  return createPeerClients(makeSelf('entry-1'), clientKeys, clock);
}

describe('peers', () => {
  let server: PeerServer;

  before(async () => {
    server = await startServer(keys);
  });

  after(() => server.close());

  it('answers a heartbeat with its incarnation', async () => {
    const clients = createVirtualTimeClients(keys);
    const answer = await sendHeartbeat(clients, server.address);
    assert.equal(answer, 'run-of-entry-2');
    clients.close();
  });

  describe('rotation', () => {
    // During a rotation, instances get the new key one at a time. Calls between
    // an instance that has it and one that does not must work in both
    // directions. Otherwise half of the fleet would suspect the other half.
    it('lets a rotated client call an instance that is not rotated', async () => {
      const rotated = createPeerKeys(NEXT_KEY, KEY);
      const clients = createVirtualTimeClients(rotated);
      const answer = await sendHeartbeat(clients, server.address);
      assert.equal(answer, 'run-of-entry-2');
      clients.close();
    });

    it('lets a client that is not rotated call a rotated instance', async () => {
      const rotated = await startServer(createPeerKeys(NEXT_KEY, KEY));
      const clients = createVirtualTimeClients(keys);
      const answer = await sendHeartbeat(clients, rotated.address);
      assert.equal(answer, 'run-of-entry-2');
      clients.close();
      await rotated.close();
    });
  });

  // An earlier build derives the stored key in another way. If the two could not call
  // each other, each half of the fleet would suspect the other during an upgrade.
  describe('an upgrade of the fleet', () => {
    const upgraded = createGeneratedPeerKeys(KEY);

    it('lets an upgraded client call an instance that is not', async () => {
      const clients = createVirtualTimeClients(upgraded);
      const answer = await sendHeartbeat(clients, server.address);
      assert.equal(answer, 'run-of-entry-2');
      clients.close();
    });

    it('lets a client that is not upgraded call one that is', async () => {
      const upgradedServer = await startServer(upgraded);
      const clients = createVirtualTimeClients(keys);
      const answer = await sendHeartbeat(clients, upgradedServer.address);
      assert.equal(answer, 'run-of-entry-2');
      clients.close();
      await upgradedServer.close();
    });
  });

  describe('clients without the key', () => {
    it('get no response with a wrong key', async () => {
      const wrong = createPeerKeys(NEXT_KEY);
      const clients = createPeerClients(makeSelf('entry-1'), wrong);
      await assert.rejects(sendHeartbeat(clients, server.address));
      clients.close();
    });

    it('get no response with the right identity and a wrong secret', async () => {
      const {identity} = keys[0];
      const socket = connectTls({
        ...splitHostPort(server.address),
        ciphers: PEER_CIPHERS,
        maxVersion: 'TLSv1.2',
        checkServerIdentity: () => undefined,
        pskCallback: () => ({identity, psk: Buffer.alloc(32)}),
      });
      socket.on('secureConnect', () => assert.fail('handshake succeeded'));
      await once(socket, 'error');
    });

    for (const [what, bytes] of [
      [
        'plain HTTP',
        'GET / HTTP/1.1\r\nhost: peer\r\nupgrade: websocket\r\n\r\n',
      ],
      ['garbage', '\x16\x03\x01\xff\xff\x00garbage'.repeat(50)],
    ]) {
      it(`get at most a TLS alert for ${what}`, async () => {
        const socket = connectTcp(splitHostPort(server.address));
        const received: Buffer[] = [];
        socket.on('data', data => received.push(data));
        socket.on('error', () => {});
        socket.write(bytes);
        await once(socket, 'close');
        const answer = Buffer.concat(received);
        // At most 7 bytes: type, version and length of a record, level, reason.
        assert.ok(answer.length <= 7, answer.toString('hex'));
        assert.ok(answer.length === 0 || answer[0] === 21);
      });
    }

    it('cannot stop a peer with an oversized frame', async () => {
      const {identity, secret} = keys[0];
      const socket = new WebSocket(`wss://${server.address}`, {
        ciphers: PEER_CIPHERS,
        maxVersion: 'TLSv1.2',
        checkServerIdentity: () => undefined,
        pskCallback: () => ({identity, psk: secret}),
      } as never);
      socket.on('error', () => {});
      await once(socket, 'open');
      socket.send('x'.repeat(MAX_FRAME_BYTES + 1));
      const signal = AbortSignal.timeout(5000);
      const [code] = await once(socket, 'close', {signal});
      assert.ok(code === 1009 || code === 1006, `${code}`);
      const clients = createVirtualTimeClients(keys);
      await sendHeartbeat(clients, server.address);
      clients.close();
    });
  });

  describe('on a path that fails', () => {
    let proxy: Server;
    let sockets: Socket[];
    let address: string;

    beforeEach(async () => {
      sockets = [];
      proxy = createServer(inbound => {
        const outbound = connectTcp(splitHostPort(server.address));
        inbound.pipe(outbound);
        outbound.pipe(inbound);
        for (const socket of [inbound, outbound]) {
          socket.on('error', () => {});
          sockets.push(socket);
        }
      });
      proxy.listen(0, '127.0.0.1');
      await once(proxy, 'listening');
      address = `127.0.0.1:${(proxy.address() as {port: number}).port}`;
    });

    afterEach(() => {
      for (const socket of sockets) socket.destroy();
      proxy.close();
    });

    it('replace a silent connection', {timeout: 10_000}, async () => {
      // A device between two instances loses the state of their connection: it
      // stays open and nothing arrives. One call times out. The next one uses a
      // new connection and gets a response.
      const clock = createVirtualClock();
      const clients = createVirtualTimeClients(keys, clock);
      await sendHeartbeat(clients, address);
      for (const socket of sockets) socket.unpipe().pause();
      clock.advance(1);
      const unanswered = sendHeartbeat(clients, address);
      clock.advance(CALL_TIMEOUT_MS);
      await assert.rejects(unanswered);
      const answer = await sendHeartbeat(clients, address);
      assert.equal(answer, 'run-of-entry-2');
      clients.close();
    });

    const endings = {
      closed: (socket: Socket) => void socket.end(),
      reset: (socket: Socket) => void socket.resetAndDestroy(),
    };
    for (const [name, end] of Object.entries(endings)) {
      // Guards against a shortened response of a peer that is used as the whole.
      it(`fail a call if the connection is ${name} within its response`, async () => {
        const clients = createVirtualTimeClients(keys);
        await sendHeartbeat(clients, address);
        const [inbound, outbound] = sockets;
        outbound.unpipe();
        outbound.once('data', (bytes: Buffer) => {
          inbound.write(bytes.subarray(0, -1));
          end(inbound);
        });
        outbound.resume();
        const error = await sendHeartbeat(clients, address).catch(
          (thrown: unknown) => thrown,
        );
        assert.ok(error instanceof PeerCallError, String(error));
        assert.equal(error.sent, true);
        clients.close();
      });
    }
  });
});
