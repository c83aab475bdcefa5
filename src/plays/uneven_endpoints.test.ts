/** Compares the choice among uneven endpoints with and without their paces. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  findNoise,
  findSpeed,
  simulateUneven,
  type WorkFinder,
} from './uneven_endpoints.js';

/** Returns late requests without and with the reported paces. */
function compareLate(findWork: WorkFinder) {
  const before = simulateUneven(findWork, false);
  const after = simulateUneven(findWork, true);
  assert.equal(after.requests, before.requests);
  return {before: before.late, after: after.late};
}

describe('the choice among uneven endpoints', () => {
  it('has no more late requests on static speeds', () => {
    const late = compareLate(endpoint => ({
      factor: findSpeed(endpoint),
      reportedPace: 1,
    }));
    assert.ok(late.after <= late.before, JSON.stringify(late));
  });

  it('has no more late requests on noise', () => {
    const late = compareLate((endpoint, now) => {
      const pace = findNoise(endpoint, now);
      return {factor: pace, reportedPace: pace};
    });
    assert.ok(late.after <= late.before, JSON.stringify(late));
  });

  it('has no more late requests on speeds and noise together', () => {
    const late = compareLate((endpoint, now) => {
      const pace = findNoise(endpoint, now);
      return {factor: findSpeed(endpoint) * pace, reportedPace: pace};
    });
    assert.ok(late.after <= late.before, JSON.stringify(late));
  });
});
