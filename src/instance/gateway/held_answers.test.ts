/** Responses that are buffered for slow callers, on virtual time. */
import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import type {ServerResponse} from 'node:http';
import {describe, it} from 'node:test';
import {createSilentLog, type Log} from '../../common/log.js';
import {createMetrics} from '../../common/metrics.js';
import {createVirtualClock} from '../../common/virtual_clock.js';
import {PAUSE_LIMIT_MS} from '../../decisions/answer_memory_constants.js';
import {createHeldAnswers, type HeldAnswers} from './held_answers.js';
import {buildStopError, type RequestState} from './request_state.js';

const BUDGET = 1_000_000;
const CHUNK = Buffer.alloc(10_000, 'x');

/** Fakes a response whose caller reads only when `read` is called. */
function makeResponse() {
  let sent: (() => void) | undefined;
  const response = Object.assign(new EventEmitter(), {
    destroyed: false,
    isEnded: false,
    written: 0,
    write(piece: Buffer, done: () => void) {
      assert.equal(sent, undefined, 'one piece at a time');
      response.written += piece.length;
      sent = done;
      return false;
    },
    req: {httpVersion: '1.1'},
    end: () => void (response.isEnded = true),
    destroy() {
      response.destroyed = true;
      response.emit('close');
    },
    /** Reads the piece that was written last. */
    read() {
      const done = sent;
      sent = undefined;
      done?.();
      return done !== undefined;
    },
  });
  return response;
}

function createFixture(budget = BUDGET) {
  const clock = createVirtualClock();
  const metrics = createMetrics();
  const lines: object[] = [];
  const log = {
    ...createSilentLog(),
    info: (fields: object) => void lines.push(fields),
  } as unknown as Log;
  const held = createHeldAnswers({clock, log, metrics, budget});
  return {clock, metrics, held, lines};
}

function openResponse(held: HeldAnswers, account = 'gate') {
  const response = makeResponse();
  const drain = new AbortController();
  const state = {isEnded: false, resumed: 0};
  const output = held.openOutput({
    response: response as unknown as ServerResponse,
    account,
    signal: drain.signal,
    onEnd: () => void (state.isEnded = true),
  });
  return {
    response,
    drain,
    state,
    output,
    /** Writes chunks until the output accepts no more; returns their number. */
    fill(limit = 200): number {
      for (let count = 1; count <= limit; count++) {
        if (!output.write(CHUNK, () => state.resumed++)) return count;
      }
      return limit;
    },
  };
}

const countBytes = (held: HeldAnswers) =>
  (held.describeState() as {bytes: number}).bytes;

describe('a response that its caller does not read', () => {
  it('is accepted at the pace of the endpoint, and delivered when it is read', () => {
    const {held, clock} = createFixture();
    const {output, response, fill} = openResponse(held);
    assert.equal(fill(50), 50);
    output.end();
    clock.advance(9000);
    assert.equal(response.isEnded, false);
    while (response.read());
    assert.equal(response.written, 50 * CHUNK.length);
    assert.equal(response.isEnded, true);
    assert.equal(countBytes(held), 0);
  });

  it('is paused at the limit of its account, and goes on when it is read', () => {
    const {held, clock} = createFixture();
    const {response, state, fill} = openResponse(held);
    assert.ok(fill() < BUDGET / CHUNK.length);
    clock.advance(PAUSE_LIMIT_MS / 2);
    assert.equal(state.resumed, 0);
    while (state.resumed === 0 && response.read());
    assert.equal(state.resumed, 1);
    clock.advance(10 * PAUSE_LIMIT_MS);
    assert.equal(state.isEnded, false);
  });

  it('is ended before its endpoint cuts it off', () => {
    const {held, clock, metrics, lines} = createFixture();
    const {state, fill} = openResponse(held);
    fill();
    clock.advance(PAUSE_LIMIT_MS + 200);
    assert.equal(state.isEnded, true);
    assert.equal(countBytes(held), 0);
    assert.equal(lines.length, 2, 'at most one line per second');
    return metrics.render().then(text => {
      assert.match(text, /held_answers_paused_total 1/);
      assert.match(text, /held_answers_ended_total 1/);
    });
  });

  it('gives its memory back when its caller leaves', () => {
    const {held} = createFixture();
    const {response, fill} = openResponse(held);
    fill();
    response.destroy();
    assert.equal(countBytes(held), 0);
  });

  it('is closed at the drain timeout', () => {
    // Guards against an instance that waits for the caller beyond its grace.
    const {held} = createFixture();
    const {response, drain, output, fill} = openResponse(held);
    fill(20);
    output.end();
    drain.abort();
    assert.equal(response.destroyed, true);
  });
});

describe('250 callers that read nothing', () => {
  it('stay within the budget and delay no caller that reads', () => {
    const {held, clock} = createFixture(24_000_000);
    for (let index = 0; index < 250; index++) {
      const slow = openResponse(held);
      slow.fill();
      assert.ok(countBytes(held) <= 24_000_000);
      const reader = openResponse(held, index % 2 ? 'gate' : 'planner');
      for (let count = 0; count < 20; count++) {
        assert.equal(reader.fill(1), 1);
        reader.response.read();
      }
      reader.output.end();
      assert.equal(reader.state.isEnded, false);
      assert.equal(reader.response.isEnded, true);
      clock.advance(50);
    }
  });
});

describe('a complete response that is written at once', () => {
  it('counts until it is read, and is refused if there is no memory for it', () => {
    // Guards against results of bundles that are requested and never read.
    const {held} = createFixture();
    const hold = (response: ReturnType<typeof makeResponse>, account: string) =>
      held.reserveResult(
        response as unknown as ServerResponse,
        account,
        0.7 * BUDGET,
      );
    const first = makeResponse();
    hold(first, 'gate');
    assert.equal(countBytes(held), 0.7 * BUDGET);
    assert.throws(() => hold(makeResponse(), 'planner'), {
      code: 'overloaded',
      verdict: 'not-run',
    });
    first.emit('close');
    hold(makeResponse(), 'planner');
    assert.equal(countBytes(held), 0.7 * BUDGET);
  });
});

describe('without a budget', () => {
  it('a response is paused by its connection alone', () => {
    // Guards against a change for deployments that request no buffer.
    const {held} = createFixture(0);
    const {response, fill, state} = openResponse(held);
    response.write = () => false;
    assert.equal(fill(), 1);
    response.emit('drain');
    assert.equal(state.resumed, 1);
    held.openBody('gate').noteArrived(1e9);
    assert.equal(countBytes(held), 0);
  });
});

describe('the error of a request whose caller reads too slowly', () => {
  it('says that the request may have run', () => {
    const state = {runs: 1, lifetime: {getReason: () => 'unread'}};
    const {code, verdict} = buildStopError(state as unknown as RequestState);
    assert.deepEqual([code, verdict], ['slow_reader', 'may-have-run']);
  });
});
