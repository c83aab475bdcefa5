/**
 * Tests the capacity kept free of batch work, by how long requests can wait.
 */
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

/**
 * Records 10 requests per second for two seconds; returns the last one's time.
 */
function noteSteady(
  reserve: ReturnType<typeof createOnlineReserve>,
  isUrgent: (index: number) => boolean,
): number {
  for (let index = 0; index < 20; index++) {
    reserve.note(isUrgent(index), index * 100);
  }
  return 1900;
}

describe('the reserve for online requests', () => {
  describe('that can wait for a yield', () => {
    it('covers only the requests that arrive while an item yields', () => {
      const reserve = createOnlineReserve();
      const now = noteSteady(reserve, () => false);
      const arriving = Math.round(reserve.getRate(now) * YIELD_MS);
      assert.equal(reserve.countHeadroom(ENDPOINTS, now), arriving);
      assert.equal(reserve.computeYieldFloor(ENDPOINTS, now), 0);
      assert.equal(reserve.countQuiet(ENDPOINTS, PREFILL_MS, now), 0);
    });

    it('lets items start in a burst as soon as no request waits', () => {
      const reserve = createOnlineReserve();
      const now = noteSteady(reserve, () => false);
      for (let index = 0; index < 10; index++) reserve.note(false, now + index);
      assert.equal(reserve.isBatchPaused(now + 10), false);
    });

    it('stays the same when one request in ten is urgent', () => {
      const reserve = createOnlineReserve();
      const now = noteSteady(reserve, index => index % 10 === 0);
      assert.equal(reserve.computeYieldFloor(ENDPOINTS, now), 0);
    });
  });

  describe('that are all urgent', () => {
    it('contains slots of each endpoint and endpoints without batch prefill', () => {
      const reserve = createOnlineReserve();
      const now = noteSteady(reserve, () => true);
      const headroom = ENDPOINTS * BATCH_HEADROOM;
      assert.equal(reserve.countHeadroom(ENDPOINTS, now), headroom);
      assert.ok(reserve.computeYieldFloor(ENDPOINTS, now) > 0);
      assert.ok(reserve.countQuiet(ENDPOINTS, PREFILL_MS, now) > 0);
    });

    it('lets no item start during a burst and for a pause after it', () => {
      const reserve = createOnlineReserve();
      const now = noteSteady(reserve, () => true);
      for (let index = 0; index < 10; index++) reserve.note(true, now + index);
      assert.equal(reserve.isBatchPaused(now + 10), true);
      assert.equal(reserve.isBatchPaused(now + 10 + BURST_PAUSE_MS), false);
    });
  });

  it('contains slots of each endpoint before the first request', () => {
    const reserve = createOnlineReserve();
    const headroom = ENDPOINTS * BATCH_HEADROOM;
    assert.equal(reserve.countHeadroom(ENDPOINTS, 0), headroom);
  });
});
