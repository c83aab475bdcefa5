import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRetryBudget, drawRetry, noteRequest} from './retry_budget.js';

const REQUESTS_PER_SECOND = 50;

/** Tries made in `seconds` when a share of all tries fails. */
function playFailures(seconds: number, failing: (now: number) => boolean) {
  let budget = createRetryBudget(0);
  let tries = 0;
  let unsaved = 0;
  const requests = seconds * REQUESTS_PER_SECOND;
  for (let request = 0; request < requests; request++) {
    const now = (request / REQUESTS_PER_SECOND) * 1000;
    budget = noteRequest(budget, now);
    tries++;
    for (let again = 0; again < 2 && failing(now); again++) {
      const draw = drawRetry(budget, now);
      budget = draw.budget;
      if (!draw.granted) unsaved++;
      if (!draw.granted) break;
      tries++;
    }
  }
  return {amplification: tries / requests, unsaved};
}

describe('retry budget', () => {
  it('adds a tenth to the load when every try fails', () => {
    const {amplification} = playFailures(600, () => true);
    assert.ok(amplification < 1.12, `${amplification}`);
  });

  it('lets the 19 open requests of a lost failure domain be tried again', () => {
    let budget = createRetryBudget(0);
    for (let request = 0; request < 19; request++) {
      const draw = drawRetry(budget, 1000);
      assert.equal(draw.granted, true);
      budget = draw.budget;
    }
  });

  it('saves every request when one in twelve tries fails', () => {
    let request = 0;
    const {unsaved} = playFailures(600, () => request++ % 12 === 0);
    assert.equal(unsaved, 0);
  });

  it('has its reserve again after an outage', () => {
    let budget = createRetryBudget(0);
    for (let request = 0; request < 30; request++) {
      budget = drawRetry(budget, 0).budget;
    }
    assert.equal(drawRetry(budget, 0).granted, false);
    assert.equal(drawRetry(budget, 40_000).budget.retries, 19);
  });
});
