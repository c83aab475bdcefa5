import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRetryBudget, drawRetry, noteRequest} from './retry_budget.js';

const REQUESTS_PER_SECOND = 50;

/**
 * Simulates requests for `seconds`; returns attempts per request and denials.
 */
function simulateFailures(seconds: number, failing: (now: number) => boolean) {
  let budget = createRetryBudget(0);
  let attempts = 0;
  let denied = 0;
  const requests = seconds * REQUESTS_PER_SECOND;
  for (let request = 0; request < requests; request++) {
    const now = (request / REQUESTS_PER_SECOND) * 1000;
    budget = noteRequest(budget, now);
    attempts++;
    for (let again = 0; again < 2 && failing(now); again++) {
      const draw = drawRetry(budget, now);
      budget = draw.budget;
      if (!draw.granted) denied++;
      if (!draw.granted) break;
      attempts++;
    }
  }
  return {amplification: attempts / requests, denied};
}

describe('retry budget', () => {
  it('adds a tenth to the load when every attempt fails', () => {
    const {amplification} = simulateFailures(600, () => true);
    assert.ok(amplification < 1.12, `${amplification}`);
  });

  it('allows a retry of the 19 open requests of a lost failure domain', () => {
    let budget = createRetryBudget(0);
    for (let request = 0; request < 19; request++) {
      const draw = drawRetry(budget, 1000);
      assert.equal(draw.granted, true);
      budget = draw.budget;
    }
  });

  it('allows all retries when one attempt in 12 fails', () => {
    let request = 0;
    const {denied} = simulateFailures(600, () => request++ % 12 === 0);
    assert.equal(denied, 0);
  });

  it('refills its reserve after an outage', () => {
    let budget = createRetryBudget(0);
    for (let request = 0; request < 30; request++) {
      budget = drawRetry(budget, 0).budget;
    }
    assert.equal(drawRetry(budget, 0).granted, false);
    assert.equal(drawRetry(budget, 40_000).budget.retries, 19);
  });
});
