/** Tests the weights of ranks. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {computeRankWeight} from './rank_weights.js';

describe('the weight of a rank', () => {
  it('is 4, 2 and 1 for ranks 0, 1, and 2 and above', () => {
    assert.deepEqual([0, 1, 2, 3, 100].map(computeRankWeight), [4, 2, 1, 1, 1]);
  });
});
