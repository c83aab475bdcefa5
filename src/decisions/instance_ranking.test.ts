import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  chooseByRendezvous,
  measureMovedShare,
  orderRing,
  rankByRendezvous,
} from './instance_ranking.js';

function makeFleet(count: number) {
  return Array.from({length: count}, (_, index) => ({name: `entry-${index}`}));
}

const KEYS = Array.from(
  {length: 8280},
  (_, index) => `service/account-${index}`,
);

describe('instance ranking', () => {
  it('does not depend on the order of the list', () => {
    const fleet = makeFleet(10);
    assert.deepEqual(
      rankByRendezvous('a', fleet),
      rankByRendezvous('a', [...fleet].reverse()),
    );
    assert.equal(
      chooseByRendezvous('a', fleet),
      rankByRendezvous('a', fleet)[0],
    );
  });

  for (const size of [10, 360]) {
    it(`moves about 1/${size} of the keys when one of ${size} instances changes`, t => {
      const fleet = makeFleet(size);
      const share = measureMovedShare(KEYS, fleet, fleet.slice(1));
      t.diagnostic(`moved ${(100 * share).toFixed(2)}% of ${KEYS.length} keys`);
      assert.ok(share < 1.5 / size, `${share}`);
      assert.ok(share > 0.5 / size, `${share}`);
    });
  }

  it('moves only the keys of the instance that left', () => {
    const fleet = makeFleet(10);
    const rest = fleet.slice(1);
    for (const key of KEYS.slice(0, 500)) {
      const before = chooseByRendezvous(key, fleet)!;
      if (before.name === 'entry-0') continue;
      assert.equal(chooseByRendezvous(key, rest), before);
    }
  });

  it('puts every other instance on the ring exactly once', () => {
    const ring = orderRing('entry-3', makeFleet(10));
    assert.equal(new Set(ring.map(({name}) => name)).size, 9);
  });
});
