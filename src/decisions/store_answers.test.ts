/** Tests what instances jointly know about the store's answers. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  shouldRetainMissing,
  mergeAnswerPeriods,
  REGISTRATION_RETURN_MS,
} from './store_answers.js';

const LAPSE_MS = 2400;

describe('answer periods of the store', () => {
  const held = {from: 1000, to: 5000};

  it('are merged unless a long silence lies between them', () => {
    const near = {from: held.to + LAPSE_MS - 1, to: 9000};
    assert.deepEqual(mergeAnswerPeriods(held, near, LAPSE_MS), {
      from: 1000,
      to: 9000,
    });
    assert.deepEqual(mergeAnswerPeriods(near, held, LAPSE_MS), {
      from: 1000,
      to: 9000,
    });
    const inside = {from: 2000, to: 3000};
    assert.deepEqual(mergeAnswerPeriods(held, inside, LAPSE_MS), held);
  });

  it('are replaced by the newer one after a long silence, in any order', () => {
    const newer = {from: held.to + LAPSE_MS, to: 9000};
    assert.deepEqual(mergeAnswerPeriods(held, newer, LAPSE_MS), newer);
    assert.deepEqual(mergeAnswerPeriods(newer, held, LAPSE_MS), newer);
    assert.deepEqual(mergeAnswerPeriods(undefined, held, LAPSE_MS), held);
  });
});

describe('a missing registration', () => {
  const period = {from: 10_000, to: 12_500};

  it('may have lapsed until it had time to return', () => {
    const until = period.from + REGISTRATION_RETURN_MS;
    assert.equal(shouldRetainMissing(period, LAPSE_MS, until - 1), true);
    assert.equal(shouldRetainMissing(period, LAPSE_MS, until), false);
  });

  it('may have lapsed during a long silence', () => {
    const silent = period.to + LAPSE_MS;
    assert.equal(shouldRetainMissing(period, LAPSE_MS, silent - 1), false);
    assert.equal(shouldRetainMissing(period, LAPSE_MS, silent), true);
  });
});
