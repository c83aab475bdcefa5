/** Evacuations in series, old rows, and reports of peers. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSilentLog} from '../../common/log.js';
import {createVirtualClock} from '../../common/virtual_clock.js';
import type {EvacuationReport} from '../../decisions/evacuation.js';
import {createEvacuations} from './evacuations.js';

function startEvacuations() {
  const clock = createVirtualClock();
  const reports: EvacuationReport[] = [];
  const state: {lostAt?: number; changes: number} = {changes: 0};
  const evacuations = createEvacuations({
    clock,
    log: createSilentLog(),
    getStoreLostAt: () => state.lostAt,
    listReports: () => reports,
    onChange: () => state.changes++,
  });
  return {clock, reports, state, evacuations};
}

describe('evacuations', () => {
  it('end when they are taken back, and tell when that was', () => {
    const {clock, evacuations} = startEvacuations();
    evacuations.apply(['a'], 5);
    assert.ok(evacuations.isEvacuated('a'));
    clock.advance(700);
    evacuations.apply([], 6);
    assert.ok(!evacuations.isEvacuated('a'));
    assert.equal(evacuations.getReturnedAt('a'), clock.now());
    assert.equal(evacuations.getReturnedAt('b'), -Infinity);
  });

  // After it lost its history, the store may answer with rows of some seconds ago.
  it('are not forgotten when the store returns older rows', () => {
    const {evacuations} = startEvacuations();
    evacuations.apply(['a'], 8);
    evacuations.apply([], 7);
    assert.deepEqual(evacuations.list(), ['a']);
  });

  it('notify only of changes', () => {
    const {state, evacuations} = startEvacuations();
    evacuations.apply(['a', 'b'], 1);
    evacuations.apply(['b', 'a'], 2);
    evacuations.refresh();
    assert.equal(state.changes, 1);
  });

  it('follow the peers while the store is lost, and the store after it', () => {
    const {clock, reports, state, evacuations} = startEvacuations();
    evacuations.apply([], 1);
    clock.advance(1000);
    state.lostAt = clock.now();
    clock.advance(1000);
    reports.push({
      askedAt: clock.now(),
      storeReachable: true,
      evacuated: ['a'],
    });
    evacuations.refresh();
    assert.deepEqual(evacuations.list(), ['a']);
    state.lostAt = undefined;
    evacuations.apply([], 9);
    assert.deepEqual(evacuations.list(), []);
  });
});
