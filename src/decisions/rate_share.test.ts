/** Tests an account at several times its rate while its owners change. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createShareBucket, type ShareBucket} from './rate_share.js';

const LIMITS = {rate: 20, burst: 20};
const WINDOW_MS = 5000;
/** Maximum number of requests that the agreement allows in a window. */
const MAX_AGREED_REQUESTS = (LIMITS.rate * 5 + LIMITS.burst) * 1.1 + 20;

/**
 * Requests a token every 10 ms from `from` to `to`; returns the grant times.
 */
function drawOften(
  bucket: ShareBucket,
  {from, to, share = 1, since = from}: Record<string, number>,
): number[] {
  const granted: number[] = [];
  for (let now = from; now < to; now += 10) {
    if (bucket.take(LIMITS, share, since, now) === 0) granted.push(now);
  }
  return granted;
}

/** Takes all tokens; returns the retry delay in ms. */
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
    const granted = drawOften(createShareBucket(), {
      from: 10_000,
      to: 20_000,
      since: 0,
    });
    // The last request comes 10 ms before the end of the 10 s.
    const earned = Math.floor(9.99 * LIMITS.rate);
    assert.equal(granted.length, LIMITS.burst + earned);
  });

  it('stays within the agreement while its owner changes repeatedly', () => {
    // Guards against excess load after lost owners, which other accounts would
    // wait behind. Three owners are lost within one window; each new one starts
    // with a tenth of the burst, as it cannot know the earlier grants.
    const granted = [0, 1200, 2400, 3600].flatMap(from =>
      drawOften(createShareBucket(), {from, to: from + 1200}),
    );
    assert.ok(countMostInWindow(granted) <= MAX_AGREED_REQUESTS);
  });

  it('stays within the agreement during a network partition', () => {
    // Guards against each side granting the full rate. Six of ten instances
    // see each other, four others decide alone; their shares add up to one.
    const owner = drawOften(createShareBucket(), {
      from: 0,
      to: 9000,
      share: 0.6,
    });
    const alone = Array.from({length: 4}, () =>
      drawOften(createShareBucket(), {from: 0, to: 9000, share: 0.1}),
    );
    const all = [...owner, ...alone.flat()];
    assert.ok(countMostInWindow(all) <= MAX_AGREED_REQUESTS);
    assert.ok(all.length >= 9 * LIMITS.rate * 0.9);
  });

  it('gets a retry delay after which its next request is within its rate', () => {
    const bucket = createShareBucket();
    const retryAfterMs = drainAt(bucket, 2000);
    assert.ok(retryAfterMs > 0 && retryAfterMs <= 1000 / LIMITS.rate);
    assert.equal(bucket.take(LIMITS, 1, 0, 2000 + retryAfterMs), 0);
  });

  it('is not charged for a request that did not run', () => {
    const bucket = createShareBucket();
    drainAt(bucket, 2000);
    bucket.refund();
    assert.equal(bucket.take(LIMITS, 1, 0, 2000), 0);
  });
});
