/**
 * Tests the stated limits of a hot account where they are not met yet: of the requests
 * of accounts within their share, at most 2 in 100 more are late or refused.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {compareHot, listBreaches, RUN_MS} from './hot_account_fixtures.js';

describe('a hot account takes nothing from accounts within their share', () => {
  // Guards against a new dispatcher that learns only by its first refusal that
  // accounts compete.
  it('in a takeover in the peak', () =>
    assert.deepEqual(listBreaches(compareHot(4, {takeoverAt: 15_500})), []));

  // Guards against parts of a pool that are too small to tell the hot account from
  // the others.
  it('in fallback dispatch', () =>
    assert.deepEqual(listBreaches(compareHot(10, {parts: 74})), []));

  // Guards against an account that keeps its slots three times as long.
  it('with long work', () => {
    const getRunMs = (account: number) => (account === 10 ? 6000 : RUN_MS);
    assert.deepEqual(listBreaches(compareHot(10, {getRunMs})), []);
  });
});
