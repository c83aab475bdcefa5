/** Assertions on what accounts lose to one that sends far too much. */
import assert from 'node:assert/strict';
import {MIN_RATIO, type Comparison} from '../decisions/hot_account_fixtures.js';

/** Asserts that refusals are fewer by `factor`, and that fewer are late. */
export function assertFewerLosses(
  shares: Comparison,
  before: Comparison,
  factor: number,
) {
  assert.ok(shares.refusedShare < before.refusedShare / factor);
  assert.ok(shares.refused < before.refused);
  assert.ok(shares.lateShare < before.lateShare);
  assert.ok(shares.leastRatio >= MIN_RATIO);
}
