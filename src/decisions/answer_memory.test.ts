/** Shares of the memory for callers that read slowly, on virtual time. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createAnswerMemory, type AnswerMemory} from './answer_memory.js';
import {
  CATCH_UP_BYTES,
  PAUSE_LIMIT_MS,
  READ_BYTES,
} from './answer_memory_constants.js';

const BUDGET = 24_000_000;
const CHUNK = 16_000;

/** Receives `bytes` for a response as its endpoint sends them, until it is paused. */
function receive(
  memory: AnswerMemory<string>,
  {key, account, bytes}: {key: string; account: string; bytes: number},
  now = 0,
): number {
  let held = 0;
  while (held < bytes) {
    held += CHUNK;
    memory.update(key, account, held, held);
    if (memory.endOverflow(key).includes(key)) break;
    if (memory.shouldPause(key, now)) break;
  }
  return held;
}

function countAccountBytes(memory: AnswerMemory<string>, account: string) {
  const found = memory.listAccounts().find(each => each.account === account);
  return found?.bytes ?? 0;
}

/** Lets an account's callers read nothing of `count` endless responses. */
function receiveEndless(
  memory: AnswerMemory<string>,
  account: string,
  count: number,
) {
  for (let index = 0; index < count; index++) {
    receive(memory, {key: `${account}-${index}`, account, bytes: BUDGET});
  }
}

describe('memory for unread responses', () => {
  it('holds 250 responses that fit the budget without a pause', () => {
    // Guards against slots that wait for callers while memory is free.
    const memory = createAnswerMemory<string>(BUDGET);
    for (let index = 0; index < 250; index++) {
      receive(memory, {key: `r${index}`, account: 'gate', bytes: 64_000});
    }
    assert.equal(memory.countBytes(), 250 * 64_000);
    assert.equal(memory.countPaused(), 0);
  });

  it('stays within the budget with 84 accounts of slow callers', () => {
    // Guards against the end of the process when accounts become slow one after
    // the other, each with more responses than fit.
    const memory = createAnswerMemory<string>(BUDGET);
    for (let index = 0; index < 84; index++) {
      receiveEndless(memory, `account-${index}`, 3);
    }
    assert.ok(memory.countBytes() <= BUDGET);
  });

  it('gives an account that comes later a share, whatever one account holds', () => {
    // Guards against one account's slow callers delaying another's responses.
    const memory = createAnswerMemory<string>(BUDGET);
    receiveEndless(memory, 'first', 250);
    memory.decide(100);
    const first = countAccountBytes(memory, 'first');
    assert.ok(first > 0.7 * BUDGET && first < 0.85 * BUDGET, `${first}`);
    const held = receive(memory, {
      key: 'other',
      account: 'other',
      bytes: BUDGET / 20,
    });
    assert.ok(held >= BUDGET / 20);
    assert.equal(memory.shouldPause('other', 0), false);
  });

  it('pauses the accounts that hold the most, and equal ones at equal shares', () => {
    const memory = createAnswerMemory<string>(BUDGET);
    const held = new Map<string, number>();
    const active = new Set(['a', 'b', 'c', 'small']);
    while (active.size > 1 || !active.has('small')) {
      for (const account of active) {
        const bytes = (held.get(account) ?? 0) + CHUNK;
        if (account === 'small' && bytes > BUDGET / 40) continue;
        held.set(account, bytes);
        memory.update(account, account, bytes, bytes);
        if (memory.shouldPause(account, 0)) active.delete(account);
      }
    }
    const [a, b, c] = ['a', 'b', 'c'].map(name => held.get(name)!);
    assert.ok(Math.max(a, b, c) - Math.min(a, b, c) <= 10 * CHUNK);
    assert.equal(memory.shouldPause('small', 0), false);
  });

  it('pauses the largest response of an account first', () => {
    const memory = createAnswerMemory<string>(BUDGET);
    receive(memory, {key: 'large', account: 'gate', bytes: BUDGET});
    const small = {key: 'small', account: 'gate', bytes: BUDGET / 40};
    receive(memory, small);
    assert.equal(memory.shouldPause('large', 0), true);
    assert.equal(memory.shouldPause('small', 0), false);
  });

  it('never pauses a response whose caller has read everything', () => {
    const memory = createAnswerMemory<string>(BUDGET);
    receiveEndless(memory, 'gate', 250);
    memory.update('reader', 'gate', 0, 5_000_000);
    assert.equal(memory.shouldPause('reader', 0), false);
  });

  it('resumes responses as memory becomes free, the smallest first', () => {
    const memory = createAnswerMemory<string>(BUDGET);
    const holdings = {large: 0.42, small: 0.1, done: 0.3};
    for (const [key, share] of Object.entries(holdings)) {
      memory.update(key, 'gate', share * BUDGET, BUDGET);
    }
    assert.equal(memory.shouldPause('large', 0), true);
    assert.equal(memory.shouldPause('small', 0), true);
    assert.deepEqual(memory.decide(100), {ended: [], resumed: []});
    memory.remove('done');
    const {ended, resumed} = memory.decide(200);
    assert.deepEqual(ended, []);
    assert.deepEqual(resumed, ['small', 'large']);
  });

  it('resumes a response at once when its caller has read everything', () => {
    const memory = createAnswerMemory<string>(BUDGET);
    receiveEndless(memory, 'gate', 10);
    assert.equal(memory.shouldResume('gate-9', 0), false);
    memory.update('gate-9', 'gate', 0, BUDGET);
    assert.equal(memory.shouldResume('gate-9', 0), true);
  });
});

describe('a response that stays paused', () => {
  function makePaused(sizes: Record<string, number>) {
    const memory = createAnswerMemory<string>(BUDGET);
    for (const [key, received] of Object.entries(sizes)) {
      memory.update(key, 'gate', BUDGET / 5, received);
    }
    for (const key of Object.keys(sizes)) memory.shouldPause(key, 0);
    return memory;
  }

  it('is ended before its endpoint cuts it off', () => {
    const memory = makePaused({a: 9e6, b: 9e6, c: 9e6, d: 9e6});
    assert.deepEqual(memory.decide(PAUSE_LIMIT_MS - 1).ended, []);
    const {ended} = memory.decide(PAUSE_LIMIT_MS);
    assert.deepEqual(ended, ['a']);
    assert.equal(memory.countPaused(), 0);
  });

  it('is ended although it is read a little from time to time', () => {
    // The buffers of a connection hide small reads, so endpoints cut such responses
    // off: 1 to 2 of 250 in platform/slow_readers.test.ts.
    const memory = makePaused({a: 9e6, b: 9e6, c: 9e6, d: 9e6});
    const open = new Set(['a', 'b', 'c', 'd']);
    for (let now = 100; now <= PAUSE_LIMIT_MS; now += 100) {
      for (const key of open) {
        memory.update(key, 'gate', BUDGET / 5 - 400_000, 9e6);
        assert.equal(memory.shouldResume(key, now), true);
        memory.update(key, 'gate', BUDGET / 5, 9e6);
        memory.shouldPause(key, now + 10);
      }
      for (const key of memory.decide(now + 20).ended) open.delete(key);
    }
    assert.equal(open.size, 3);
  });

  it('has the full time again after it was read at length', () => {
    const memory = makePaused({a: 9e6, b: 9e6, c: 9e6, d: 9e6});
    memory.update('a', 'gate', 0, 9e6);
    assert.equal(memory.shouldResume('a', 1000), true);
    memory.update('a', 'gate', BUDGET / 5, 9e6 + CATCH_UP_BYTES);
    assert.equal(memory.shouldPause('a', 1010), true);
    const {ended} = memory.decide(PAUSE_LIMIT_MS);
    assert.ok(ended.length > 0 && !ended.includes('a'));
  });

  it('goes on if the end of one that received less makes room', () => {
    // Guards against the loss of a response that is nearly complete.
    const memory = makePaused({long: 50e6, short: 7e6, mid: 20e6, other: 20e6});
    const {ended, resumed} = memory.decide(PAUSE_LIMIT_MS);
    assert.ok(!ended.includes('long'));
    assert.ok(ended.includes('short'));
    assert.ok(resumed.includes('long'));
  });

  it('costs no response of another account', () => {
    const memory = makePaused({a: 9e6, b: 9e6, c: 9e6, d: 9e6});
    memory.update('other', 'other', READ_BYTES, 1);
    memory.shouldPause('other', 0);
    const {ended} = memory.decide(PAUSE_LIMIT_MS);
    assert.ok(!ended.includes('other'));
  });

  it('is kept once it is complete', () => {
    const memory = makePaused({a: 9e6, b: 9e6, c: 9e6, d: 9e6});
    for (const key of ['a', 'b', 'c', 'd']) memory.markComplete(key);
    assert.deepEqual(memory.decide(60_000), {ended: [], resumed: []});
    assert.equal(memory.countBytes(), 0.8 * BUDGET);
  });

  it('is ended at once if its account is far over its limit', () => {
    // Guards against responses of other accounts that wait until it expires.
    const memory = makePaused({a: 9e6, b: 7e6, c: 9e6, d: 9e6});
    memory.update('other', 'other', BUDGET / 20, BUDGET / 20);
    assert.deepEqual(memory.decide(100).ended, ['b']);
  });

  it('is ended at once if the budget is exceeded', () => {
    // Guards against the end of the process, which loses all responses.
    const memory = makePaused({a: 9e6, b: 7e6, c: 9e6, d: 9e6});
    memory.update('new', 'new', BUDGET / 4, 1e6);
    assert.deepEqual(memory.endOverflow('new'), ['b']);
    for (const key of ['a', 'c', 'd']) memory.markComplete(key);
    memory.update('newest', 'newest', BUDGET / 4, 1e6);
    assert.deepEqual(memory.endOverflow('newest'), ['newest']);
  });
});

describe('bodies in arrival', () => {
  it('have room up to the share of their account', () => {
    // Guards against bodies of one account that use the memory of all.
    const memory = createAnswerMemory<string>(BUDGET);
    assert.equal(memory.hasRoom('gate', 4_000_000), true);
    memory.update('body', 'gate', 19_000_000, 19_000_000);
    assert.equal(memory.hasRoom('gate', 2_000_000), false);
    assert.equal(memory.hasRoom('other', 2_000_000), true);
    memory.remove('body');
    assert.equal(memory.hasRoom('gate', 2_000_000), true);
  });
});
