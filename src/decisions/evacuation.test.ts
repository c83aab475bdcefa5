/** Evacuations while the store turns an instance away. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {selectEvacuated} from './evacuation.js';

const SERVED = {storeReachable: true};

describe('evacuated failure domains', () => {
  it('are those of the store while it serves the instance', () => {
    const reports = [{...SERVED, askedAt: 50, evacuated: ['b']}];
    assert.deepEqual(selectEvacuated(['a'], undefined, reports), ['a']);
  });

  // An instance that is turned away would go on sending to an evacuated domain.
  it('are those of the newest peer while it is turned away', () => {
    const reports = [
      {...SERVED, askedAt: 120, evacuated: ['a']},
      {...SERVED, askedAt: 150, evacuated: ['a', 'b']},
      {...SERVED, askedAt: 130, evacuated: []},
    ];
    assert.deepEqual(selectEvacuated([], 100, reports), ['a', 'b']);
  });

  it('are used again when a peer knows that the evacuation was taken back', () => {
    const reports = [{...SERVED, askedAt: 150, evacuated: []}];
    assert.deepEqual(selectEvacuated(['a'], 100, reports), []);
  });

  for (const [what, report] of [
    ['asked before', {...SERVED, askedAt: 90, evacuated: []}],
    ['also turned away', {storeReachable: false, askedAt: 150, evacuated: []}],
    ['of an earlier version', {...SERVED, askedAt: 150}],
  ] as const) {
    it(`are not taken from a peer that was ${what}`, () => {
      assert.deepEqual(selectEvacuated(['a'], 100, [report]), ['a']);
    });
  }
});
