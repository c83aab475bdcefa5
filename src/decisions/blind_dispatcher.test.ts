/** Standing down as dispatcher without news of endpoints. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {BLIND_AFTER_MS, isBlind} from './blind_dispatcher.js';
import {selectSettled, SETTLED_SPREAD_MS} from './instance_ranking.js';

describe('a dispatcher that lost the store', () => {
  const lostAt = 1000;

  it('goes on while the store is away for all', () => {
    // Requests would find no dispatcher at all. Peers that have not noticed
    // yet still report that the store answers: reports asked for before they
    // could have noticed do not count.
    const early = {storeReachable: true, askedAt: lostAt + BLIND_AFTER_MS - 1};
    const late = {storeReachable: false, askedAt: lostAt + 9000};
    assert.equal(isBlind(lostAt, [early, late]), false);
  });

  it('stands down once a peer still has it', () => {
    const report = {storeReachable: true, askedAt: lostAt + BLIND_AFTER_MS};
    assert.equal(isBlind(lostAt, [report]), true);
  });

  it('goes on when the store answers again', () => {
    const report = {storeReachable: true, askedAt: lostAt + BLIND_AFTER_MS};
    assert.equal(isBlind(undefined, [report]), false);
  });
});

describe('who has work that is lost with its instance', () => {
  const fleet = Array.from({length: 5}, (_, index) => ({
    name: `entry-${index}`,
    startedAt: 1000 + index,
  }));

  it('is nobody who has just restarted', () => {
    const young = {name: 'entry-0', startedAt: 60_000};
    const settled = selectSettled([young, ...fleet.slice(1)]);
    assert.deepEqual(settled, fleet.slice(1));
  });

  it('is everybody after a restart of the whole fleet', () => {
    assert.equal(selectSettled(fleet).length, fleet.length);
    const spread = fleet.map((each, index) => ({
      ...each,
      startedAt: (index * SETTLED_SPREAD_MS) / 4,
    }));
    assert.equal(selectSettled(spread).length, spread.length);
  });

  it('is nobody much weaker than others', () => {
    const uneven = fleet.map((each, index) => ({
      ...each,
      capacity: index === 0 ? 0.324 : 1.35,
    }));
    assert.deepEqual(selectSettled(uneven), uneven.slice(1));
  });

  it('is somebody in a fleet of one', () => {
    assert.equal(selectSettled(fleet.slice(0, 1)).length, 1);
  });
});
