/** An account at several times its rate, through owners that come and go. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createShareBucket, type ShareBucket} from './rate_share.js';

const LIMITS = {rate: 20, burst: 20};
const WINDOW_MS = 5000;
/** What the agreement lets through in a window, in requests. */
const AGREED = (LIMITS.rate * 5 + LIMITS.burst) * 1.1 + 20;

/** Asks every 10 ms from `from` to `to`; returns the times of grants. */
function askOften(
  bucket: ShareBucket,
  {from, to, share = 1, since = from}: Record<string, number>,
): number[] {
  const granted: number[] = [];
  for (let now = from; now < to; now += 10) {
    if (bucket.take(LIMITS, share, since, now) === 0) granted.push(now);
  }
  return granted;
}

/** Takes all there is; returns when to come back, in ms. */
function drainAt(bucket: ShareBucket, now: number): number {
  for (;;) {
    const retryAfterMs = bucket.take(LIMITS, 1, 0, now);
    if (retryAfterMs > 0) return retryAfterMs;
  }
}

function countMostInWindow(times: number[]): number {
  const sorted = [...times].sort((a, b) => a - b);
  return Math.max(
    0,
    ...sorted.map(
      start =>
        sorted.filter(time => time >= start && time < start + WINDOW_MS).length,
    ),
  );
}

describe('an account far over its rate', () => {
  it('gets its burst and its rate from one owner', () => {
    const granted = askOften(createShareBucket(), {
      from: 10_000,
      to: 20_000,
      since: 0,
    });
    // The last question comes 10 ms before ten seconds are full.
    const earned = Math.floor(9.99 * LIMITS.rate);
    assert.equal(granted.length, LIMITS.burst + earned);
  });

  it('stays within the agreement while owners follow each other', () => {
    // Other accounts would wait for slots that this one takes beyond its rate.
    // Three owners are lost within one window; each new one starts with a
    // tenth of the burst, because it cannot know what was granted before.
    const granted = [0, 1200, 2400, 3600].flatMap(from =>
      askOften(createShareBucket(), {from, to: from + 1200}),
    );
    assert.ok(countMostInWindow(granted) <= AGREED);
  });

  it('stays within the agreement while two sides are apart', () => {
    // Six of ten instances see each other, four others each decide alone: the
    // shares of all add up to the whole rate and burst.
    const owner = askOften(createShareBucket(), {
      from: 0,
      to: 9000,
      share: 0.6,
    });
    const alone = Array.from({length: 4}, () =>
      askOften(createShareBucket(), {from: 0, to: 9000, share: 0.1}),
    );
    const all = [...owner, ...alone.flat()];
    assert.ok(countMostInWindow(all) <= AGREED);
    assert.ok(all.length >= 9 * LIMITS.rate * 0.9);
  });

  it('is told when the next request will be inside its rate', () => {
    const bucket = createShareBucket();
    const retryAfterMs = drainAt(bucket, 2000);
    assert.ok(retryAfterMs > 0 && retryAfterMs <= 1000 / LIMITS.rate);
    assert.equal(bucket.take(LIMITS, 1, 0, 2000 + retryAfterMs), 0);
  });

  it('is not charged for what did not run', () => {
    const bucket = createShareBucket();
    drainAt(bucket, 2000);
    bucket.refund();
    assert.equal(bucket.take(LIMITS, 1, 0, 2000), 0);
  });
});
