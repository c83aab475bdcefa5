/** What is kept free of batch work, by the time that questions have. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createOnlineReserve} from './online_reserve.js';
import {
  BATCH_HEADROOM,
  BURST_PAUSE_MS,
  YIELD_MS,
} from './scheduler_constants.js';

const ENDPOINTS = 8;
const PREFILL_MS = 60;

/** Ten questions a second for two seconds; returns the time of the last. */
function noteSteady(
  reserve: ReturnType<typeof createOnlineReserve>,
  isPressing: (index: number) => boolean,
): number {
  for (let index = 0; index < 20; index++) {
    reserve.note(isPressing(index), index * 100);
  }
  return 1900;
}

describe('what is kept free for questions', () => {
  describe('that have time to wait', () => {
    it('is what arrives while an item makes way, and nothing ahead of need', () => {
      const reserve = createOnlineReserve();
      const now = noteSteady(reserve, () => false);
      const arriving = Math.round(reserve.getRate(now) * YIELD_MS);
      assert.equal(reserve.countHeadroom(ENDPOINTS, now), arriving);
      assert.equal(reserve.countAhead(ENDPOINTS, now), 0);
      assert.equal(reserve.countQuiet(ENDPOINTS, PREFILL_MS, now), 0);
    });

    it('lets items start in a burst as soon as no question waits', () => {
      const reserve = createOnlineReserve();
      const now = noteSteady(reserve, () => false);
      for (let index = 0; index < 10; index++) reserve.note(false, now + index);
      assert.equal(reserve.isHeld(now + 10), false);
    });

    it('stays so when one in ten is pressing', () => {
      const reserve = createOnlineReserve();
      const now = noteSteady(reserve, index => index % 10 === 0);
      assert.equal(reserve.countAhead(ENDPOINTS, now), 0);
    });
  });

  describe('that are late by every ms', () => {
    it('is a share of each endpoint', () => {
      const reserve = createOnlineReserve();
      const now = noteSteady(reserve, () => true);
      const headroom = ENDPOINTS * BATCH_HEADROOM;
      assert.equal(reserve.countHeadroom(ENDPOINTS, now), headroom);
      assert.ok(reserve.countAhead(ENDPOINTS, now) > 0);
      assert.ok(reserve.countQuiet(ENDPOINTS, PREFILL_MS, now) > 0);
    });

    it('lets no item start in a burst and for a while after', () => {
      const reserve = createOnlineReserve();
      const now = noteSteady(reserve, () => true);
      for (let index = 0; index < 10; index++) reserve.note(true, now + index);
      assert.equal(reserve.isHeld(now + 10), true);
      assert.equal(reserve.isHeld(now + 10 + BURST_PAUSE_MS), false);
    });
  });

  it('is a share of each endpoint before any question came', () => {
    const reserve = createOnlineReserve();
    const headroom = ENDPOINTS * BATCH_HEADROOM;
    assert.equal(reserve.countHeadroom(ENDPOINTS, 0), headroom);
  });
});
