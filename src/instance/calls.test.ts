/** Sessions of callers while endpoints, keys and instances fail. */
import assert from 'node:assert/strict';
import {after, before, describe, it} from 'node:test';
import bunyan from 'bunyan';
import type {EngineServer} from '../stand_ins/engine/engine_server.js';
import {
  formatResponse,
  makeChatRequest,
  readStream,
  startCallFleet,
  type CallResponse,
  type CallFleet,
} from '../testing/call_fleet.js';
import {assertGolden, normalizeSession} from '../testing/golden.js';
import {withdrawKey} from './keys/key_directory.js';

const CHAT = '/v1/chat/completions';

/** A plain service whose endpoint runs one call at a time, and may take long for it. */
const SLOW_VISITS = `[service]
name = visits
kind = plain
[endpoint]
first_byte_timeout = 10m
max_concurrency = 1
[account.gate]
rate = 1000/s
burst = 1000
`;

function assertSession(name: string, answers: CallResponse[]) {
  const session = answers.map(formatResponse).join('\n');
  assertGolden(`instance/golden/${name}.txt`, normalizeSession(session));
}

/**
 * Returns the joined text of the chunks. `onChunk` is called with each chunk.
 */
async function readChunks(
  body: AsyncIterable<Buffer>,
  onChunk: (chunk: string) => void | Promise<void> = () => {},
): Promise<string> {
  let text = '';
  for await (const chunk of body) {
    text += chunk;
    await onChunk(String(chunk));
  }
  return text;
}

/** Sorts engines with running streams first. */
function sortByRunning(engines: EngineServer[]): EngineServer[] {
  return [...engines].sort(
    (a, b) => b.streams.countRunning() - a.streams.countRunning(),
  );
}

async function awaitUntil(isMet: () => boolean | Promise<boolean>) {
  while (!(await isMet())) await new Promise(resolve => setTimeout(resolve, 5));
}

/** Number of requests that the first instance is serving. */
async function countOpen({instances}: CallFleet): Promise<number> {
  const url = `http://${instances[0].operatorsAddress}/state`;
  const dump = (await (await fetch(url)).json()) as {callers: {open: number}};
  return dump.callers.open;
}

/** Fetches the dispatcher's state as text. */
async function fetchDispatch(operatorsAddress: string): Promise<string> {
  const answer = await fetch(`http://${operatorsAddress}/state`);
  return JSON.stringify(((await answer.json()) as {dispatch: object}).dispatch);
}

describe('calls', () => {
  describe('while endpoints fail', () => {
    let fleet: CallFleet;

    before(async () => {
      fleet = await startCallFleet({instances: 2, engines: 2});
    });

    after(() => fleet.stop());

    it('resumes a stream on another engine when the engine dies in the middle of it', async () => {
      // The caller reads one complete answer. The engine's process ends while
      // the stream is open. The request runs again on the other engine, which
      // repeats what was already sent, and only the rest is forwarded.
      for (const engine of fleet.engines) {
        Object.assign(engine.options, {tokens: 20, holdAt: 10});
      }
      const question = makeChatRequest('is drum 17 accepted', true);
      const {status, body} = await fleet.open(CHAT, {body: question});
      const text = await readChunks(body, async chunk => {
        if (!chunk.includes(' t9"')) return;
        const [dying, other] = sortByRunning(fleet.engines);
        other.options.holdAt = null;
        await dying.stop();
      });
      const counts = fleet.engines.map(({counts: {started}}) => started);
      assert.deepEqual(counts, [1, 1]);
      assertSession('resumed_session', [{status, headers: {}, text}]);
    });

    it('runs a non-repeatable call only once when its response is lost', async () => {
      // The caller gets the verdict may-have-run. The service runs the call and
      // the connection breaks before the response. Another attempt could run it
      // twice.
      fleet.service.faults.push('lose-answer');
      const lost = await fleet.send('/services/visits/book', {
        body: {drum: 17},
      });
      const other = await fleet.send('/services/visits/book', {
        body: {drum: 18},
      });
      fleet.service.faults.push('lose-answer');
      const repeated = await fleet.send('/services/visits/visits');
      assert.deepEqual(fleet.service.calls, [
        'POST /book {"drum":17}',
        'POST /book {"drum":18}',
        'GET /visits',
        'GET /visits',
      ]);
      assertSession('lost_answer_session', [lost, other, repeated]);
    });

    it('passes on a response without a length that is whole', async () => {
      fleet.service.faults.push('unframed');
      const {status, text} = await fleet.send('/services/visits/visits');
      assert.equal(status, 200);
      assert.equal(JSON.parse(text).call, 'GET /visits');
    });

    // Guards against the start of a response that is passed on, and recorded for
    // resends, as complete.
    it('neither completes nor records a response that is reset', async () => {
      const path = '/services/visits/book';
      const call = {
        body: {drum: 21},
        headers: {'idempotency-key': 'visit-21'},
      };
      fleet.service.faults.push('reset');
      await assert.rejects(fleet.send(path, call));
      const again = await fleet.send(path, {...call, instance: 1});
      assert.equal(again.status, 502);
      assert.equal(JSON.parse(again.text).error.code, 'endpoint_failed');
      const ran = fleet.service.calls.filter(entry => entry.includes('21'));
      assert.equal(ran.length, 1);
    });

    it('recognizes a call that is resent to another instance', async () => {
      // The caller disconnects before the response and sends the call again to
      // another instance, first while it runs and then after it has ended. The
      // service runs it once, and the resent call gets the recorded answer.
      const call = {
        body: {drum: 19},
        headers: {'idempotency-key': 'visit-19'},
      };
      const leaving = new AbortController();
      let finishCall = () => {};
      fleet.service.onCall = () => {
        leaving.abort();
        return new Promise<void>(resolve => (finishCall = resolve));
      };
      const path = '/services/visits/book';
      await assert.rejects(fleet.send(path, {...call, signal: leaving.signal}));
      const during = await fleet.send(path, {...call, instance: 1});
      finishCall();
      fleet.service.onCall = () => {};
      let later = during;
      await awaitUntil(async () => {
        later = await fleet.send(path, {...call, instance: 1});
        return later.status === 200;
      });
      const again = await fleet.send(path, call);
      const reused = await fleet.send(path, {...call, body: {drum: 20}});
      const ran = fleet.service.calls.filter(entry => entry.includes('19'));
      assert.equal(ran.length, 1);
      assertSession('resend_session', [during, later, again, reused]);
    });
  });

  it('refuses an account over its rate and says when to retry', async () => {
    const fleet = await startCallFleet();
    const key = fleet.keys.planner.secret;
    const body = makeChatRequest('is drum 17 accepted', false);
    const answers: CallResponse[] = [];
    for (let call = 0; call < 3; call++) {
      answers.push(await fleet.send(CHAT, {key, body}));
    }
    answers.push(await fleet.send(CHAT, {body}));
    await fleet.stop();
    assertSession('limit_session', answers);
  });

  it('ends an open stream whose key is withdrawn', async () => {
    // The caller reads tokens, then an error as the last event. Its next
    // request on the same connection is refused. The key is withdrawn in the
    // table, and within a second the instance reads the change and checks open
    // requests.
    const fleet = await startCallFleet();
    fleet.engines[0].options.tokens = 1_000_000;
    fleet.engines[0].options.betweenTokensMs = 10;
    const body = makeChatRequest('is drum 17 accepted', true);
    const stream = await fleet.open(CHAT, {body});
    let withdrawn = false;
    const text = await readChunks(stream.body, async () => {
      if (withdrawn) return;
      withdrawn = true;
      await withdrawKey(fleet.platform.table, fleet.keys.gate.keyId);
    });
    const next = await fleet.send(CHAT, {body});
    await awaitUntil(() => fleet.engines[0].streams.countRunning() === 0);
    await fleet.stop();
    const {content, last} = readStream(text);
    assert.match(content, /^re is drum 17 accepted: t1/);
    const end = {status: stream.status, headers: {}, text: last};
    assertSession('withdrawn_key_session', [end, next]);
  });

  it('gives no new work to a leaving endpoint and lets its stream end', async () => {
    const fleet = await startCallFleet({engines: 2});
    const [first, second] = fleet.engines;
    const body = makeChatRequest('is drum 17 accepted', true);
    for (const engine of fleet.engines) engine.options.holdAt = 1;
    const open = await fleet.open(CHAT, {body});
    const [leaving, staying] =
      first.counts.started === 1 ? [first, second] : [second, first];
    fleet.listEndpoints([leaving]);
    for (const engine of fleet.engines) engine.options.holdAt = null;
    const text = await readChunks(open.body);
    assert.match(readStream(text).content, / t7$/);
    for (const engine of fleet.engines) engine.options.tokens = 2;
    // Waits until every instance has received the change of the list. A round
    // of requests that happens to go to the other endpoint would not show that.
    await awaitUntil(async () => {
      const dumps = await Promise.all(
        fleet.instances.map(({operatorsAddress}) =>
          fetchDispatch(operatorsAddress),
        ),
      );
      return dumps.every(dump => !dump.includes(leaving.address));
    });
    const startedBefore = leaving.counts.started;
    const before = staying.counts.started;
    await Promise.all([1, 2, 3, 4].map(() => fleet.send(CHAT, {body})));
    assert.equal(leaving.counts.started, startedBefore);
    assert.equal(staying.counts.started, before + 4);
    await fleet.stop();
  });

  describe('graceful shutdown', () => {
    it('completes every open stream and waiting request', async () => {
      // Callers read complete answers, then their connections are closed. The
      // instance is stopped while streams are open and more requests wait for a
      // slot than the engine accepts. It answers all of them and then refuses
      // connections.
      const fleet = await startCallFleet();
      const [engine] = fleet.engines;
      engine.options.holdAt = 3;
      const body = makeChatRequest('is drum 17 accepted', true);
      const calls = Array.from({length: 24}, () => fleet.send(CHAT, {body}));
      await awaitUntil(async () => (await countOpen(fleet)) === 24);
      const stopped = fleet.instances[0].stop();
      engine.options.holdAt = null;
      const answers = await Promise.all(calls);
      await stopped;
      for (const {status, text} of answers) {
        assert.equal(status, 200);
        assert.match(readStream(text).content, / t7$/);
        assert.equal(readStream(text).last, 'data: [DONE]');
      }
      assertSession('shutdown_session', [answers[0], answers[23]]);
      await assert.rejects(fleet.send(CHAT, {body}), {code: 'ECONNREFUSED'});
      await Promise.all([engine.stop(), fleet.service.stop()]);
    });

    it('ends requests that are still open after the drain limit with an error', async () => {
      // The caller reads tokens and then, as the last event, that the instance
      // is draining: it learns that its answer is incomplete, and does not
      // hang.
      const fleet = await startCallFleet({drainMs: 20});
      fleet.engines[0].options.tokens = 1_000_000;
      const body = makeChatRequest('is drum 17 accepted', true);
      const stream = await fleet.open(CHAT, {body});
      const stopped = fleet.instances[0].stop();
      const {last} = readStream(await readChunks(stream.body));
      await stopped;
      assert.match(last, /^event: error\ndata: .*"code":"draining"/);
      await Promise.all([fleet.engines[0].stop(), fleet.service.stop()]);
    });

    // Guards against calls that outlive the drain limit because they go on without their
    // caller: the process is killed then, and their connections just close.
    it('ends calls with an idempotency key after the drain limit', async () => {
      const fleet = await startCallFleet({
        instances: 2,
        drainMs: 20,
        documents: [SLOW_VISITS],
      });
      let finishCall = () => {};
      fleet.service.onCall = () =>
        new Promise<void>(resolve => (finishCall = resolve));
      const path = '/services/visits/book';
      const [sent, queued] = [21, 22].map(drum => ({
        body: {drum},
        headers: {'idempotency-key': `visit-${drum}`},
      }));
      const calls = [fleet.send(path, sent)];
      await awaitUntil(() => fleet.service.calls.length === 1);
      calls.push(fleet.send(path, queued));
      await awaitUntil(async () => (await countOpen(fleet)) === 2);
      const stopped = fleet.instances[0].stop();
      const answers = await Promise.all(calls);
      await stopped;
      finishCall();
      fleet.service.onCall = () => {};
      const later = await Promise.all(
        [sent, queued].map(call => fleet.send(path, {...call, instance: 1})),
      );
      await fleet.instances[1].stop();
      await Promise.all(
        [...fleet.engines, fleet.service].map(server => server.stop()),
      );
      assert.deepEqual(
        [...answers, ...later].map(({status, headers}) => [
          status,
          headers['x-mulberry-verdict'],
        ]),
        [
          [503, 'may-have-run'],
          [503, 'not-run'],
          [503, 'may-have-run'],
          [200, undefined],
        ],
      );
      assert.equal(later[0].headers['idempotent-replayed'], 'true');
    });

    it('announces the close of keep-alive connections in responses', async () => {
      const fleet = await startCallFleet();
      const [engine] = fleet.engines;
      engine.options.holdAt = 3;
      const body = makeChatRequest('is drum 17 accepted', false);
      const call = fleet.send(CHAT, {body});
      await awaitUntil(async () => (await countOpen(fleet)) === 1);
      const stopped = fleet.instances[0].stop();
      engine.options.holdAt = null;
      assert.equal((await call).headers.connection, 'close');
      await stopped;
      await Promise.all([engine.stop(), fleet.service.stop()]);
    });
  });

  it('does not reveal the key to endpoints, logs, metrics or state dumps', async () => {
    // Whoever could read such a key could use it.
    const logged: string[] = [];
    const log = bunyan.createLogger({
      name: 'test',
      level: 'trace',
      streams: [
        {stream: {write: (line: string) => void logged.push(line)} as never},
      ],
    });
    const fleet = await startCallFleet({log});
    const secret = fleet.keys.gate.secret;
    fleet.engines[0].faults.add({kind: 'fail'});
    fleet.service.faults.push('lose-answer');
    const headers = {
      'x-api-key': secret,
      cookie: secret,
      'idempotency-key': 'k',
    };
    const question = makeChatRequest('is drum 17 accepted', true);
    await fleet.send(CHAT, {body: question, headers});
    await fleet.send(CHAT, {body: '{"model":', headers});
    await fleet.send('/services/visits/book', {body: {drum: 17}, headers});
    await fleet.send('/services/visits/visits', {headers});
    const [instance] = fleet.instances;
    const shown = await Promise.all(
      ['metrics', 'state', 'readyz'].map(async path => {
        const url = `http://${instance.operatorsAddress}/${path}`;
        return (await fetch(url)).text();
      }),
    );
    await fleet.stop();
    const received = [...fleet.engines[0].received, ...fleet.service.received];
    assert.ok(received.length >= 4);
    assert.match(shown.join(), /mulberry_answers_total/);
    for (const text of [...received, ...shown, ...logged]) {
      assert.ok(!text.includes(secret), text);
    }
  });
});
