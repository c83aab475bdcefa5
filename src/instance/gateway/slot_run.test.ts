/** Runs on the slots of endpoints that are sockets of the test. */
import assert from 'node:assert/strict';
import {createServer, type Server, type Socket} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {createSystemClock} from '../../common/clock.js';
import {
  createHttpConnections,
  type HttpConnections,
} from '../../common/http_connections.js';
import {listenServer} from '../../common/listen.js';
import type {Slot} from '../dispatch/dispatch.js';
import {openRun, type OpenRun} from './open_run.js';
import type {EndpointProtocol} from './protocols.js';
import type {RunListener, RunRequest} from './slot_run.js';

/** Short, so that a test waits little for it. */
const SILENCE_MS = 20;

const EVENT = 'id: 1\ndata: one\n\n';

const protocol = {
  encodeHeaders: () => ['Host', 'h'],
  decodeHead: () => ({kind: 'answer'}),
} as unknown as EndpointProtocol;

describe('a run', () => {
  let server: Server;
  let address: string;
  let connections: HttpConnections;
  let connected: Promise<Socket>;
  let endings: string[];

  beforeEach(async () => {
    connected = new Promise(resolve => {
      server = createServer(socket => {
        socket.on('error', () => {});
        socket.once('data', () => resolve(socket));
      });
    });
    address = await listenServer(server, 'endpoint', '127.0.0.1', 0);
    connections = createHttpConnections({connectTimeoutMs: 1000});
    endings = [];
  });

  afterEach(() => {
    connections.close();
    server.close();
  });

  function startRun(listener: RunListener, headers = ['Host', 'h']): OpenRun {
    const slot = {
      endpoint: {name: 'i-0', address},
      yieldSignal: new AbortController().signal,
      release: ({kind}: {kind: string}) => void endings.push(kind),
    } as unknown as Slot;
    return openRun(
      {
        clock: createSystemClock(),
        connections,
        protocol: {...protocol, encodeHeaders: () => headers},
        noteMisdirected() {},
        noteResponse() {},
      },
      {slot, askedAt: 0},
      {
        id: 'r1',
        method: 'POST',
        target: '/',
        body: Buffer.from('x'),
        silenceMs: SILENCE_MS,
      } as RunRequest,
      listener,
      new AbortController().signal,
    );
  }

  // Guards against an instance that ends for an id that an endpoint gave an event.
  it('has not run if its headers cannot be sent', async () => {
    const listener: RunListener = {
      onAnswer: () => 'take',
      onData: () => true,
    };
    const {ended} = startRun(listener, ['Last-Event-Id', '\u0001']);
    assert.equal((await ended).kind, 'not-run');
    assert.deepEqual(endings, ['refused']);
  });

  // Guards against a response of two endpoints: the head of one, the body of the other.
  it('goes on when its endpoint sends the head of a failure', async () => {
    let noteHead = () => {};
    const headArrived = new Promise<void>(resolve => (noteHead = resolve));
    const run = startRun({
      onAnswer() {
        noteHead();
        return 'take';
      },
      onData: () => true,
    });
    assert.equal(await run.awaitSilence(), true);
    const progress = run.watchProgress();
    const socket = await connected;
    socket.write('HTTP/1.1 422 No\r\nContent-Length: 2\r\n\r\n');
    await headArrived;
    assert.equal(progress.aborted, true);
    socket.end('no');
    assert.equal((await run.ended).kind, 'answered');
  });

  it('releases its slot once, as silent, when its endpoint falls silent', async () => {
    const run = startRun({onAnswer: () => 'take', onData: () => true});
    assert.equal(await run.awaitSilence(), true);
    assert.deepEqual(endings, ['silent']);
    (await connected).end(
      `HTTP/1.1 200 OK\r\nContent-Length: ${EVENT.length}\r\n\r\n${EVENT}`,
    );
    assert.equal((await run.ended).kind, 'answered');
    assert.deepEqual(endings, ['silent']);
  });
});
