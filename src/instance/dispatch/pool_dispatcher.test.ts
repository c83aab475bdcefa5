/** A pool's dispatcher that has just taken over, on virtual time. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createVirtualClock} from '../../common/virtual_clock.js';
import {createPoolScheduler} from '../../decisions/pool_scheduler.js';
import type {ScheduledRequest} from '../../decisions/scheduler_types.js';
import {makeEndpoint} from '../../testing/fixtures.js';
import {GATHER_TIMEOUT_MS} from './constants.js';
import {createPoolDispatcher, type SlotAnswer} from './pool_dispatcher.js';

const HOLDER = '127.0.0.1:1';
const ENDPOINT = makeEndpoint('127.0.0.1:101');
const CANCELLED = {kind: 'cancelled', tokens: 0} as const;

function makeRequest(id: string): ScheduledRequest {
  return {
    id,
    account: 'gate',
    weight: 1,
    workClass: 'online',
    deadline: 60_000,
    promptTokens: 100,
    answerTokens: 50,
    prefixHashes: [],
    avoid: [],
  };
}

/** Starts a dispatcher of one endpoint with one slot, which asks what is held. */
function startGathering() {
  const clock = createVirtualClock();
  const limits = {maxConcurrency: 1};
  const dispatcher = createPoolDispatcher(
    clock,
    createPoolScheduler(limits),
    () => {},
  );
  dispatcher.refresh([ENDPOINT], limits);
  dispatcher.delayUntil(
    new Promise(resolve => {
      clock.schedule(GATHER_TIMEOUT_MS, () => resolve({slots: []}));
    }),
  );
  const answers = new Map<string, SlotAnswer>();
  function submit(id: string) {
    void dispatcher
      .submit(makeRequest(id), HOLDER)
      .then(answer => answers.set(id, answer));
  }
  return {clock, dispatcher, answers, submit};
}

describe('a dispatcher that asks which slots are held', () => {
  it('grants slots once it knows', async () => {
    const {clock, answers, submit} = startGathering();
    submit('a');
    await clock.advanceAsync(GATHER_TIMEOUT_MS - 1);
    assert.equal(answers.size, 0);
    await clock.advanceAsync(1);
    assert.equal(answers.get('a')?.kind, 'granted');
  });

  // Guards against requests that wait at a closed pool until their deadline, when two
  // dispatchers stop one after the other.
  it('sends waiting requests to the next dispatcher when it stops', async () => {
    const {clock, dispatcher, answers, submit} = startGathering();
    submit('a');
    submit('b');
    dispatcher.stop();
    await clock.advanceAsync(1);
    assert.deepEqual([...answers.values()], [{kind: 'moved'}, {kind: 'moved'}]);
    await clock.advanceAsync(GATHER_TIMEOUT_MS);
    assert.deepEqual(dispatcher.count(), {waiting: 0, held: 0});
  });

  // Guards against callers that get their refusal only at their deadline, and against
  // slots for callers that are gone.
  it('drops a request that stops to wait', async () => {
    const {clock, dispatcher, answers, submit} = startGathering();
    submit('a');
    dispatcher.release('a', CANCELLED);
    await clock.advanceAsync(1);
    assert.equal(answers.get('a')?.kind, 'refused');
    await clock.advanceAsync(GATHER_TIMEOUT_MS);
    assert.deepEqual(dispatcher.count(), {waiting: 0, held: 0});
  });

  it('has a request wait once that asks again', async () => {
    const {clock, dispatcher, answers, submit} = startGathering();
    submit('a');
    submit('a');
    await clock.advanceAsync(GATHER_TIMEOUT_MS);
    assert.equal(answers.get('a')?.kind, 'granted');
    assert.deepEqual(dispatcher.count(), {waiting: 0, held: 1});
  });
});

describe('a request that waits while the configuration changes', () => {
  // Guards against requests that are refused or lose their place when a version changes
  // their service, takes it away, or brings it back.
  it('keeps its place', async () => {
    const {clock, dispatcher, answers, submit} = startGathering();
    await clock.advanceAsync(GATHER_TIMEOUT_MS);
    const endpoints = [{...ENDPOINT, slots: 1}];
    dispatcher.refresh(endpoints, {maxConcurrency: 1});
    for (const id of ['a', 'b', 'c']) submit(id);
    await clock.advanceAsync(1);
    for (const maxConcurrency of [4096, 0, 1]) {
      dispatcher.refresh(endpoints, {maxConcurrency});
      await clock.advanceAsync(100);
    }
    assert.deepEqual([...answers.keys()], ['a']);
    dispatcher.release('a', CANCELLED);
    await clock.advanceAsync(1);
    assert.deepEqual([...answers.keys()], ['a', 'b']);
  });

  it('is refused by the next free slot if it has become too large', async () => {
    const {clock, dispatcher, answers, submit} = startGathering();
    await clock.advanceAsync(GATHER_TIMEOUT_MS);
    submit('a');
    submit('b');
    await clock.advanceAsync(1);
    const memory = {tokens: 10, shareTokens: 10, slots: 1, isSplit: false};
    dispatcher.refresh([ENDPOINT], {maxConcurrency: 1, memory});
    dispatcher.release('a', CANCELLED);
    await clock.advanceAsync(100);
    const answer = answers.get('b');
    assert.equal(answer?.kind === 'refused' && answer.reason, 'too-large');
  });
});

describe('a dispatcher that has stopped', () => {
  it('sends requests to the next dispatcher', async () => {
    const {clock, dispatcher, answers, submit} = startGathering();
    await clock.advanceAsync(GATHER_TIMEOUT_MS);
    dispatcher.stop();
    submit('a');
    await clock.advanceAsync(1);
    assert.deepEqual(answers.get('a'), {kind: 'moved'});
  });
});
