import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isRefusedByDrain} from './drain_admission.js';

const PERIOD = {noticeEndsAt: 2500, endsAt: 7200};

describe('a request that arrives while the instance drains', () => {
  it('is taken in during the notice', () => {
    assert.equal(isRefusedByDrain(PERIOD, 12_000, true, 2499), false);
  });

  describe('after the notice', () => {
    // Guards against a request that is cut off at the end of the grace period although
    // another instance could have served it.
    it('is refused if it may take longer than the instance has', () => {
      assert.equal(isRefusedByDrain(PERIOD, 7201, true, 2500), true);
    });

    it('is taken in if it ends in time', () => {
      assert.equal(isRefusedByDrain(PERIOD, 7200, true, 2500), false);
    });

    it('is taken in if no other instance is live', () => {
      assert.equal(isRefusedByDrain(PERIOD, 9000, false, 3000), false);
    });
  });

  it('is refused once running requests were ended', () => {
    assert.equal(isRefusedByDrain(PERIOD, 7300, false, 7200), true);
  });

  it('is taken in by an instance that does not drain', () => {
    assert.equal(isRefusedByDrain(undefined, 9000, true, 3000), false);
  });
});
