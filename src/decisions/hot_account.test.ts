/** Tests what accounts get of a pool while one of them sends far too much. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  compareHot,
  listBreaches,
  MAX_LOSS,
  RUN_MS,
  WITHOUT_SLOT_SHARES,
} from './hot_account_fixtures.js';
import {ALL_MECHANISMS} from './mechanisms.js';
import {assertFewerLosses} from '../testing/account_losses.js';

describe('a hot account', () => {
  // Guards against accounts within their share that wait behind the slots which
  // the hot account took before the others' requests came.
  for (const account of [4, 10]) {
    it(`takes nothing from accounts within their share (${account})`, t => {
      const shares = compareHot(account);
      const before = compareHot(account, {mechanisms: WITHOUT_SLOT_SHARES});
      t.diagnostic(JSON.stringify({before, shares}));
      assert.deepEqual(listBreaches(shares), []);
      assert.ok(shares.lateShare < before.lateShare);
      assert.ok(shares.served > before.served - 0.01);
    });
  }

  // Guards against a new dispatcher, which does not know what was granted
  // before, serving the hot account like the others. In the peak it exceeds the
  // limit on refusals until it has refused its first request.
  it('takes nothing in a takeover in the low phase', t => {
    const shares = compareHot(4, {takeoverAt: 13_000});
    t.diagnostic(JSON.stringify(shares));
    assert.deepEqual(listBreaches(shares), []);
  });

  it('takes less in a takeover in the peak', t => {
    const compare = (mechanisms = ALL_MECHANISMS) =>
      compareHot(4, {takeoverAt: 15_500, mechanisms});
    const shares = compare();
    const before = compare(WITHOUT_SLOT_SHARES);
    t.diagnostic(JSON.stringify({before, shares}));
    assertFewerLosses(shares, before, 1.15);
    assert.ok(shares.late <= MAX_LOSS, `late: ${shares.late}`);
  });

  // Guards against an account that gets as many slots as the others but keeps
  // each of them three times as long. It returns them within such a run, and
  // until then exceeds the limit.
  it('returns the slots of long work', t => {
    const getRunMs = (account: number) => (account === 10 ? 6000 : RUN_MS);
    const compare = (mechanisms = ALL_MECHANISMS) =>
      compareHot(10, {getRunMs, mechanisms});
    const shares = compare();
    const before = compare(WITHOUT_SLOT_SHARES);
    t.diagnostic(JSON.stringify({before, shares}));
    assertFewerLosses(shares, before, 2);
  });
});
