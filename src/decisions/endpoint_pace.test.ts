import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createEndpointPace, type EndpointPace} from './endpoint_pace.js';
import {createPoolPaces} from './pool_paces.js';
import {IGNORE_REPORTS_MS, MAX_MISSING_REPORTS} from './scheduler_constants.js';

const ADDRESS = '10.0.0.1:8000';
const USUAL_MS = 100;

function createPace() {
  const pool = createPoolPaces();
  return {pool, pace: createEndpointPace(ADDRESS, pool)};
}

/** Reports a pace with a first byte, as a response does. */
function noteResponse(
  pace: EndpointPace,
  reported: number,
  firstByteMs: number,
  now: number,
) {
  const grantedPace = pace.isKnown(now) ? pace.estimatePace(now) : undefined;
  const result = pace.noteReport(reported, now);
  const grantedAt = now - firstByteMs;
  pace.noteFirstByte(
    {firstByteMs, usualMs: USUAL_MS, grantedAt, grantedPace, wasAlone: true},
    now,
  );
  return result;
}

describe('the pace of an endpoint', () => {
  it('is certain when it is reported and decays to the long-term pace', () => {
    const {pace} = createPace();
    for (let now = 0; now < 10_000; now += 100) pace.noteReport(1, now);
    pace.noteReport(2.5, 10_000);
    assert.equal(pace.estimatePace(10_000), 2.5);
    const later = [10_300, 11_000, 20_000].map(pace.estimatePace);
    assert.ok(later[0] < 2 && later[0] > 1.3, `${later[0]}`);
    assert.ok(later[1] < later[0]);
    assert.ok(Math.abs(later[2] - 1.075) < 0.001, `${later[2]}`);
  });

  for (const [periodMs, least, most] of [
    [60, 0, 100],
    [4000, 1000, 3000],
  ]) {
    it(`decays as fast as paces that change every ${periodMs} ms`, () => {
      // Guards against a fixed time, which trusts reports that are out of date
      // or discards reports that still hold.
      const {pool, pace} = createPace();
      for (let now = 0; now < 60_000; now += 50) {
        const period = Math.floor(now / periodMs);
        pace.noteReport((period * 7919) % 5 < 2 ? 2.5 : 1, now);
      }
      const decayMs = pool.getDecayMs();
      assert.ok(decayMs >= least && decayMs <= most, `${decayMs} ms`);
    });
  }

  it('bounds a report that is far from usual', () => {
    const {pace} = createPace();
    pace.noteReport(1e9, 0);
    for (let now = 100; now < 10_000; now += 100) pace.noteReport(1, now);
    assert.ok(pace.estimatePace(20_000) < 1.1);
  });

  it('is unknown again when responses no longer report it', () => {
    const {pace} = createPace();
    pace.noteReport(2, 0);
    for (let count = 1; count < MAX_MISSING_REPORTS; count++)
      pace.noteMissing();
    assert.equal(pace.isKnown(100), true);
    pace.noteMissing();
    assert.equal(pace.isKnown(100), false);
    pace.noteReport(2, 200);
    assert.equal(pace.isKnown(200), true);
  });
});

describe('the speed of an endpoint', () => {
  it('is learned relative to the pace, also below 1', () => {
    const {pace} = createPace();
    for (let index = 0; index < 40; index++) {
      const reported = index % 4 === 0 ? 2.5 : 1;
      noteResponse(pace, reported, 0.6 * reported * USUAL_MS, index * 100);
    }
    const speed = pace.estimateSpeed(4000);
    assert.ok(Math.abs(speed - 0.6) < 0.03, `${speed}`);
  });

  it('returns to 1 without first bytes, so that the endpoint is tried', () => {
    const {pace} = createPace();
    for (let index = 0; index < 40; index++) {
      noteResponse(pace, 1, 2 * USUAL_MS, index * 100);
    }
    const later = [4000, 64_000, 600_000].map(pace.estimateSpeed);
    assert.ok(later[0] > 1.8 && later[1] < 1.6 && later[2] < 1.01, `${later}`);
  });

  it('comes with the latency of another dispatcher', () => {
    const {pool, pace} = createPace();
    pool.importSpeeds({[ADDRESS]: 0.6});
    assert.equal(pace.isKnown(0), true);
    assert.equal(pace.estimateSpeed(0), 0.6);
  });
});

describe('reports that times to first byte contradict', () => {
  it('are ignored for some seconds, then longer', () => {
    // Guards against an endpoint that attracts requests by reporting that it is
    // much faster than it is.
    const {pace} = createPace();
    const ignored: number[] = [];
    for (let now = 0; now < 40_000; now += 100) {
      const result = noteResponse(pace, 0.1, 2 * USUAL_MS, now);
      if (result === 'contradicted') ignored.push(now);
    }
    assert.ok(ignored[0] < 1000, `${ignored[0]}`);
    const firstEnd = ignored.findIndex((at, i) => ignored[i + 1] - at > 100);
    const firstMs = ignored[firstEnd] - ignored[0];
    assert.ok(Math.abs(firstMs - IGNORE_REPORTS_MS) <= 200, `${firstMs}`);
    assert.ok(ignored.length > 300, `${ignored.length} of 400`);
  });

  it('are ignored if they predict worse than no pace', () => {
    // Guards against reports that are opposite to the pace. The speed absorbs
    // their mean, so that few times are wrong by a large factor.
    const {pace} = createPace();
    let used = 0;
    for (let index = 0; index < 200; index++) {
      const isSlow = index % 6 === 0;
      const firstByteMs = (isSlow ? 2.5 : 1) * USUAL_MS;
      const reported = isSlow ? 0.5 : 2.5;
      const result = noteResponse(pace, reported, firstByteMs, index * 100);
      if (result === 'used') used++;
    }
    assert.ok(used <= 20, `${used} of 200 used`);
  });

  it('are not those that correct paces and a constant speed explain', () => {
    const {pace} = createPace();
    for (let index = 0; index < 400; index++) {
      const reported = Math.floor(index / 6) % 7 === 0 ? 2.5 : 1;
      const jitter = 0.8 + 0.4 * ((index * 37) % 100) * 0.01;
      const firstByteMs = 1.6 * reported * jitter * USUAL_MS;
      const result = noteResponse(pace, reported, firstByteMs, index * 100);
      assert.equal(result, 'used', `at report ${index}`);
    }
  });
});

describe('the speeds of a pool', () => {
  it('are bounded by the endpoints that the pool has', () => {
    const pool = createPoolPaces();
    pool.addEndpoint('a');
    pool.importSpeeds({a: 0.5, b: 0.7, c: Number.NaN});
    assert.deepEqual(pool.exportSpeeds(), {a: 0.5});
    pool.removeEndpoint('a');
    assert.equal(pool.exportSpeeds(), undefined);
    pool.setSpeed('a', {value: 2, observations: 1, at: 0});
    assert.equal(pool.exportSpeeds(), undefined);
  });

  it('are exported for one endpoint, as each granted slot carries one', () => {
    const pool = createPoolPaces();
    for (const address of ['a', 'b']) pool.addEndpoint(address);
    pool.importSpeeds({a: 0.5, b: 0.7});
    assert.deepEqual(pool.exportSpeeds('b'), {b: 0.7});
  });
});
