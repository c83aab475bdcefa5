/**
 * Compares the choice among uneven endpoints with the choice without paces, under
 * a load wave. No test may have more late requests than without paces.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  findNoise,
  findSpeed,
  simulateUneven,
  type WorkFinder,
} from './uneven_endpoints.js';

const INCORRECT_REPORTS: Record<string, WorkFinder> = {
  'are unrelated to the pace': (endpoint, now) => ({
    factor: findSpeed(endpoint) * findNoise(endpoint, now),
    reportedPace: findNoise(endpoint + 7, now + 1234),
  }),
  'are opposite to the pace': (endpoint, now) => {
    const factor = findNoise(endpoint, now);
    return {factor, reportedPace: factor > 1 ? 0.5 : 2.5};
  },
  'of a third of the endpoints are always 0.1': (endpoint, now) => {
    const pace = findNoise(endpoint, now);
    const reportedPace = endpoint % 3 === 2 ? 0.1 : pace;
    return {factor: findSpeed(endpoint) * pace, reportedPace};
  },
};

function findUneven(endpoint: number, now: number) {
  const pace = findNoise(endpoint, now);
  return {factor: findSpeed(endpoint) * pace, reportedPace: pace};
}

/** Checks late requests against those without paces, times `share`. */
function checkLate(findWork: WorkFinder, share = 1) {
  const before = simulateUneven(findWork, false);
  const after = simulateUneven(findWork, true);
  assert.equal(after.requests, before.requests);
  const message = `late ${before.late} before, ${after.late} after`;
  assert.ok(after.late <= before.late * share, message);
}

describe('the choice among uneven endpoints', () => {
  it('has fewer late requests on speeds of 0.6, 1 and 1.6', () =>
    checkLate(
      endpoint => ({factor: findSpeed(endpoint), reportedPace: 1}),
      0.5,
    ));

  it('has fewer late requests on noise', () =>
    checkLate((endpoint, now) => {
      const pace = findNoise(endpoint, now);
      return {factor: pace, reportedPace: pace};
    }, 0.9));

  it('has fewer late requests on speeds and noise together', () =>
    checkLate(findUneven, 0.7));

  for (const [name, findWork] of Object.entries(INCORRECT_REPORTS)) {
    it(`has no more late requests if reports ${name}`, () =>
      checkLate(findWork));
  }

  it('has no more late requests if reports stop', () =>
    checkLate((endpoint, now) => {
      const {factor, reportedPace} = findUneven(endpoint, now);
      return now < 8000 ? {factor, reportedPace} : {factor};
    }));

  it('is the same as without paces where none are reported', () => {
    const findWork: WorkFinder = (endpoint, now) => ({
      factor: findUneven(endpoint, now).factor,
    });
    assert.deepEqual(
      simulateUneven(findWork, true),
      simulateUneven(findWork, false),
    );
  });
});
