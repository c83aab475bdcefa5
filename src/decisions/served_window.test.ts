/** Tests the served shares of accounts. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {SERVED_WINDOW_MS} from './scheduler_constants.js';
import {createServedWindow} from './served_window.js';

describe('the window of served requests', () => {
  it('tells how evenly accounts are served', () => {
    const window = createServedWindow();
    assert.deepEqual(window.summarize(0), {jain: 1, worstTenth: 1});
    for (let account = 0; account < 10; account++) {
      window.note(`${account}`, account > 0, 0);
    }
    const {jain, worstTenth} = window.summarize(10);
    assert.ok(Math.abs(jain - 0.9) < 1e-9, `${jain}`);
    assert.equal(worstTenth, 0);
    assert.deepEqual(window.listRefused(10), {'0': 1});
  });

  // Guards against a refusal that counts against an account for ever.
  it('forgets what is older than its length', () => {
    const window = createServedWindow();
    window.note('a', false, 0);
    window.note('a', true, 5000);
    assert.deepEqual(window.count('a', 5000), {ended: 2, served: 1});
    const later = SERVED_WINDOW_MS + 1000;
    assert.deepEqual(window.count('a', later), {ended: 1, served: 1});
    assert.deepEqual(window.countAll(2 * later), {ended: 0, served: 0});
    assert.deepEqual(window.listRefused(2 * later), {});
  });
});
