/**
 * The callers' HTTP interface: refusals, limits, slow and disconnecting
 * callers.
 */
import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {after, before, describe, it} from 'node:test';
import fc from 'fast-check';
import {
  makeChatRequest,
  startCallFleet,
  type CallFleet,
} from '../../testing/call_fleet.js';
import {splitAddress} from '../settings.js';

const CHAT = '/v1/chat/completions';

describe('callers', () => {
  let fleet: CallFleet;

  before(async () => {
    fleet = await startCallFleet();
  });

  after(() => fleet.stop());

  function openSocket(): Socket {
    const {host, port} = splitAddress(fleet.instances[0].callersAddress);
    return connect(port, host).on('error', () => {});
  }

  /** Sends raw bytes and reads until the instance closes the connection. */
  async function sendRaw(bytes: string | Uint8Array): Promise<string> {
    const socket = openSocket();
    let text = '';
    socket.on('data', data => (text += data));
    // Half-closes the connection, so that an incomplete request counts as ended
    // and not as slow.
    socket.end(bytes);
    await new Promise(resolve => socket.on('close', resolve));
    return text;
  }

  async function assertServes() {
    const body = makeChatRequest('still there', false);
    assert.equal((await fleet.send(CHAT, {body})).status, 200);
  }

  describe('refuses with a 4xx and a verdict', () => {
    const post = (path: string, body: string, headers = '') =>
      `POST ${path} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer KEY\r\n` +
      `${headers}content-length: ${body.length}\r\nconnection: close\r\n\r\n${body}`;
    const CASES: [string, string, number, string][] = [
      ['bytes that are not HTTP', 'nonsense\r\n\r\n', 400, 'invalid_request'],
      [
        'a target that is not a path',
        'GET // HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n',
        404,
        'not_found',
      ],
      [
        'a target that is not a URL',
        'GET //[ HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n',
        404,
        'not_found',
      ],
      [
        'headers that are too large',
        `GET / HTTP/1.1\r\nhost: a\r\nx: ${'x'.repeat(20_000)}\r\n\r\n`,
        431,
        'headers_too_large',
      ],
      ['an unknown path', post('/v1/nothing', ''), 404, 'not_found'],
      [
        'no key',
        'GET /v1/models HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n',
        401,
        'invalid_key',
      ],
      [
        'a body that is not JSON',
        post(CHAT, '{"model":'),
        400,
        'invalid_request',
      ],
      [
        'a body that is not an object',
        post(CHAT, '[1]'),
        400,
        'invalid_request',
      ],
      ['a missing model', post(CHAT, '{}'), 400, 'invalid_request'],
      [
        'missing messages',
        post(CHAT, '{"model":"drum-reader-7b"}'),
        400,
        'invalid_request',
      ],
      [
        'an unknown model',
        post(CHAT, '{"model":"x","messages":[]}'),
        404,
        'not_found',
      ],
      [
        'a deadline without a unit',
        post(
          CHAT,
          JSON.stringify(makeChatRequest('q', false)),
          'x-mulberry-deadline: 5\r\n',
        ),
        400,
        'invalid_request',
      ],
      ['an unknown service', post('/services/none/x', ''), 404, 'not_found'],
      [
        'a model engine called as a plain service',
        post('/services/drum-reader/x', ''),
        404,
        'not_found',
      ],
      [
        'a service path that leaves its service',
        post('/services/visits/../../v1/none', ''),
        404,
        'not_found',
      ],
      [
        'a body larger than its service allows',
        post('/services/visits/book', 'x'.repeat(2000)),
        413,
        'body_too_large',
      ],
      [
        'an idempotency key that is too long',
        post(
          '/services/visits/book',
          '',
          `idempotency-key: ${'k'.repeat(300)}\r\n`,
        ),
        400,
        'invalid_request',
      ],
    ];

    for (const [name, request, status, code] of CASES) {
      it(name, async () => {
        const secret = fleet.keys.gate.secret;
        const answer = await sendRaw(request.replace('KEY', secret));
        assert.match(answer, new RegExp(`^HTTP/1.1 ${status} `));
        assert.match(answer, new RegExp(`"code":"${code}"`));
        assert.match(answer, /x-mulberry-verdict: not-run/);
      });
    }

    it('a chunked body that exceeds the limit, without a connection reset', async () => {
      // The caller streams a body without a declared length. Closing the
      // connection while a part of it is unread would reset the connection
      // before the caller has read the refusal.
      const socket = openSocket();
      const errors: Error[] = [];
      socket.on('error', error => void errors.push(error));
      const chunk = `400\r\n${'x'.repeat(1024)}\r\n`;
      const head =
        'POST /services/visits/book HTTP/1.1\r\nhost: a\r\n' +
        `authorization: Bearer ${fleet.keys.gate.secret}\r\n` +
        'transfer-encoding: chunked\r\n\r\n';
      socket.write(head + chunk + chunk);
      let text = '';
      socket.on('data', data => {
        text += data;
        socket.write(chunk.repeat(256));
        socket.write('0\r\n\r\n');
      });
      await new Promise(resolve => socket.on('close', resolve));
      assert.deepEqual(errors, []);
      assert.match(text, /^HTTP\/1.1 413 /);
      assert.match(text, /body_too_large/);
    });

    it('a method that is not allowed, naming the allowed ones', async () => {
      const answer = await fleet.send(CHAT);
      assert.equal(answer.status, 405);
      assert.match(answer.text, /use POST here/);
    });
  });

  it('never fails on malformed requests', async () => {
    // Any bytes get a 4xx response or a closed connection, and the next caller
    // is served.
    const method = fc.constantFrom('GET', 'POST', 'PUT', 'X', '');
    const target = fc.oneof(
      fc.constantFrom(
        '/',
        CHAT,
        '//',
        '*',
        '/services/visits/%zz',
        '/v1/models/%',
      ),
      fc.webPath(),
      fc.string(),
    );
    const headers = fc.array(
      fc.constantFrom(
        'host: a',
        'content-length: 5',
        'content-length: -1',
        'transfer-encoding: chunked',
        'authorization: Bearer x',
        'expect: 100-continue',
        'upgrade: websocket',
        'connection: upgrade',
        'bad header',
      ),
      {maxLength: 5},
    );
    const request = fc
      .tuple(method, target, headers, fc.string())
      .map(([verb, path, lines, body]) =>
        Buffer.from(
          `${verb} ${path} HTTP/1.1\r\n${lines.map(line => `${line}\r\n`).join('')}\r\n${body}`,
        ),
      );
    await fc.assert(
      fc.asyncProperty(fc.oneof(request, fc.uint8Array()), async bytes => {
        const answer = await sendRaw(bytes);
        assert.ok(
          /^(HTTP\/1.1 (4\d\d|100) |$)/.test(answer),
          answer.slice(0, 80),
        );
      }),
      {seed: 17, numRuns: 300},
    );
    await assertServes();
  });

  it('never fails on malformed JSON bodies', async () => {
    const value = fc.record(
      {
        model: fc.oneof(fc.constant('drum-reader-7b'), fc.jsonValue()),
        messages: fc.oneof(fc.constant([]), fc.jsonValue()),
        stream: fc.oneof(fc.boolean(), fc.jsonValue()),
        max_tokens: fc.oneof(fc.integer(), fc.jsonValue()),
      },
      {requiredKeys: []},
    );
    await fc.assert(
      fc.asyncProperty(fc.oneof(value, fc.jsonValue()), async body => {
        const text = JSON.stringify(body);
        const {status} = await fleet.send(CHAT, {body: text, method: 'POST'});
        assert.ok(status === 200 || (status >= 400 && status < 500), text);
      }),
      {seed: 17, numRuns: 200},
    );
  });

  it('forwards a plain call with its query, and drops other headers', async () => {
    const answer = await fleet.send('/services/visits/visits?day=1&x=%20', {
      headers: {'accept-language': 'mn', 'x-internal': 'secret'},
    });
    assert.match(answer.text, /GET \/visits\?day=1&x=%20/);
    const seen = fleet.service.received.at(-1)!;
    assert.ok(seen.includes('accept-language') && !seen.includes('x-internal'));
  });

  it('returns single models, and 404 for an unknown one', async () => {
    const one = await fleet.send('/v1/models/drum-reader-7b');
    assert.equal(JSON.parse(one.text).id, 'drum-reader-7b');
    assert.equal((await fleet.send('/v1/models/none')).status, 404);
  });

  it('serves text completions', async () => {
    const {text} = await fleet.send('/v1/completions', {
      body: {model: 'drum-reader-7b', prompt: 'drum 17'},
    });
    assert.match(JSON.parse(text).choices[0].text, /^re drum 17: t1/);
  });

  it('responds at the deadline, and cancels the work of the engine', async () => {
    const [engine] = fleet.engines;
    engine.options.firstTokenMs = 60_000;
    const {status, headers, text} = await fleet.send(CHAT, {
      body: makeChatRequest('late', true),
      headers: {'x-mulberry-deadline': '50ms'},
    });
    engine.options.firstTokenMs = 2;
    assert.equal(status, 504);
    assert.equal(headers['x-mulberry-verdict'], 'may-have-run');
    assert.match(text, /deadline_exceeded/);
    while (engine.streams.countRunning() > 0) {
      await new Promise(resolve => setImmediate(resolve));
    }
  });

  it('cancels the work of the engine when the caller disconnects', async () => {
    const [engine] = fleet.engines;
    Object.assign(engine.options, {tokens: 1_000_000, resumeWindowMs: 1e9});
    const leaving = new AbortController();
    const body = makeChatRequest('leave', true);
    const stream = await fleet.open(CHAT, {body, signal: leaving.signal});
    leaving.abort();
    await assert.rejects(async () => {
      for await (const piece of stream.body) void piece;
    });
    while (engine.streams.countRunning() > 0) {
      await new Promise(resolve => setImmediate(resolve));
    }
    Object.assign(engine.options, {tokens: 8, resumeWindowMs: 2000});
  });

  it('forwards the response of an engine that refuses a message', async () => {
    const answer = await fleet.send(CHAT, {
      body: {...makeChatRequest('q', true), messages: [{refuse: true}]},
    });
    assert.equal(answer.status, 200);
  });
});
