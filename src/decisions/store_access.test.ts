/** Tests when a dispatcher that gets no updates on endpoints steps down. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {STORE_LOSS_DETECTION_MS, hasLostStoreAccess} from './store_access.js';
import {selectSettled, SETTLED_START_TOLERANCE_MS} from './instance_ranking.js';

describe('a dispatcher that lost the store', () => {
  const lostAt = 1000;

  it('continues while the store is unavailable to all instances', () => {
    // Guards against all dispatchers stepping down. Peers that have not
    // detected the loss yet still report that the store answers, so reports
    // requested before they could have detected it do not count.
    const early = {
      storeReachable: true,
      askedAt: lostAt + STORE_LOSS_DETECTION_MS - 1,
    };
    const late = {storeReachable: false, askedAt: lostAt + 9000};
    assert.equal(hasLostStoreAccess(lostAt, [early, late]), false);
  });

  it('steps down once a peer reports that the store answers', () => {
    const report = {
      storeReachable: true,
      askedAt: lostAt + STORE_LOSS_DETECTION_MS,
    };
    assert.equal(hasLostStoreAccess(lostAt, [report]), true);
  });

  it('continues when the store answers again', () => {
    const report = {
      storeReachable: true,
      askedAt: lostAt + STORE_LOSS_DETECTION_MS,
    };
    assert.equal(hasLostStoreAccess(undefined, [report]), false);
  });
});

describe('an instance selected for work that is lost with it', () => {
  const fleet = Array.from({length: 5}, (_, index) => ({
    name: `entry-${index}`,
    startedAt: 1000 + index,
  }));

  it('has not just restarted', () => {
    const young = {name: 'entry-0', startedAt: 60_000};
    const settled = selectSettled([young, ...fleet.slice(1)]);
    assert.deepEqual(settled, fleet.slice(1));
  });

  it('can be any instance after a restart of the whole fleet', () => {
    assert.equal(selectSettled(fleet).length, fleet.length);
    const spread = fleet.map((each, index) => ({
      ...each,
      startedAt: (index * SETTLED_START_TOLERANCE_MS) / 4,
    }));
    assert.equal(selectSettled(spread).length, spread.length);
  });

  it('is not much weaker than others', () => {
    const uneven = fleet.map((each, index) => ({
      ...each,
      capacity: index === 0 ? 0.324 : 1.35,
    }));
    assert.deepEqual(selectSettled(uneven), uneven.slice(1));
  });

  it('exists in a fleet of one', () => {
    assert.equal(selectSettled(fleet.slice(0, 1)).length, 1);
  });
});
