/** Requests that wait for memory, and the endpoints that they reserve. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {MEMORY_TOKENS} from './memory_fixtures.js';
import {createPoolScheduler} from './pool_scheduler.js';
import {makeEndpoints, makeRequest} from './scheduler_fixtures.js';
import type {PoolLimits} from './scheduler_types.js';

const WITHOUT_BOUND: PoolLimits = {maxConcurrency: 8};
const LIMITS: PoolLimits = {
  maxConcurrency: 8,
  memory: {tokens: MEMORY_TOKENS, shareTokens: MEMORY_TOKENS, slots: 8},
};

describe('a request that waits for memory', () => {
  const now = 5000;

  /** Fills all endpoints but leaves slots free, and adds a request that must wait. */
  function startWaiting(limits: PoolLimits, coldUntil: readonly number[]) {
    const scheduler = createPoolScheduler(limits);
    const endpoints = makeEndpoints(coldUntil.length).map((each, index) => ({
      ...each,
      coldUntil: coldUntil[index],
    }));
    scheduler.setEndpoints(endpoints, 0);
    const first = makeRequest({memoryTokens: MEMORY_TOKENS});
    const second = makeRequest({memoryTokens: MEMORY_TOKENS, account: 'desk'});
    scheduler.submit(first, now);
    assert.deepEqual(scheduler.submit(second, now), []);
    return {scheduler, second};
  }

  it('is shown in the state dump, with the tokens of each endpoint', () => {
    const {scheduler} = startWaiting(LIMITS, [0]);
    const state = scheduler.describe(now + 40) as {
      endpoints: {tokens: number}[];
      waitingForMemory: object[];
    };
    assert.equal(state.endpoints[0].tokens, MEMORY_TOKENS);
    assert.deepEqual(state.waitingForMemory, [
      {
        account: 'desk',
        workClass: 'online',
        tokens: MEMORY_TOKENS,
        waitedMs: 40,
        reserved: '10.0.0.1:8000',
      },
    ]);
    assert.equal(scheduler.takeMemoryWaits(), 1);
    assert.equal(scheduler.takeMemoryWaits(), 0);
  });

  it('starts when the memory is no longer stated', () => {
    const {scheduler, second} = startWaiting(LIMITS, [0]);
    const [action] = scheduler.setLimits(WITHOUT_BOUND, now + 40);
    assert.deepEqual([action.kind, action.requestId], ['grant', second.id]);
  });

  it('leaves nothing reserved when its caller has gone', () => {
    const {scheduler, second} = startWaiting(LIMITS, [0]);
    scheduler.cancel(second.id, now + 40);
    const state = scheduler.describe(now) as {waitingForMemory: object[]};
    assert.deepEqual(state.waitingForMemory, []);
    const small = makeRequest({memoryTokens: 1});
    const twice = 2 * MEMORY_TOKENS;
    const limits = {tokens: twice, shareTokens: twice, slots: 8};
    scheduler.setLimits({...LIMITS, memory: limits}, now + 2000);
    const [action] = scheduler.submit(small, now + 2000);
    assert.equal(action.kind, 'grant');
  });

  // A cold endpoint is idle, so it would be reserved, and may get nothing for long.
  it('does not reserve a cold endpoint while another is warm', () => {
    const warmUp = {durationMs: 60_000, requestsPerS: 0};
    const {scheduler} = startWaiting({...LIMITS, warmUp}, [60_000, 0]);
    const state = scheduler.describe(now) as {
      waitingForMemory: {reserved: string}[];
    };
    assert.equal(state.waitingForMemory[0].reserved, '10.0.0.2:8000');
  });
});
