/** Tests what accounts get of small parts of a pool while one sends far too much. */
import {describe, it} from 'node:test';
import {compareHot, WITHOUT_SLOT_SHARES} from './hot_account_fixtures.js';
import {ALL_MECHANISMS} from './mechanisms.js';
import {assertFewerLosses} from '../testing/account_losses.js';

describe('a hot account', () => {
  // Guards against small parts of a pool in which the hot account has the only
  // free slot each time. An instance sees a few requests of an account, so that
  // losses beyond the limit remain (docs/design/account_shares.md).
  it('takes fewer slots of accounts within their share in fallback', t => {
    const compare = (mechanisms = ALL_MECHANISMS) =>
      compareHot(10, {parts: 74, mechanisms});
    const shares = compare();
    const before = compare(WITHOUT_SLOT_SHARES);
    t.diagnostic(JSON.stringify({before, shares}));
    assertFewerLosses(shares, before, 1.4);
  });
});
