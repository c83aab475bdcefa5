/** Routes and accounts that are bound to some of three regions. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findHomeRegions} from './home_regions.js';

describe('home regions', () => {
  it('are any without a rule', () => {
    assert.equal(findHomeRegions({}, {}), undefined);
    assert.equal(findHomeRegions({}, undefined), undefined);
  });

  it('are those of the one rule that exists', () => {
    const bound = {allowedRegions: ['east', 'west']};
    assert.deepEqual(findHomeRegions(bound, {}), ['east', 'west']);
    assert.deepEqual(findHomeRegions({}, bound), ['east', 'west']);
  });

  // If either rule alone decided, a request could leave the regions of the other.
  it('are those that both rules allow', () => {
    const route = {allowedRegions: ['east', 'west']};
    const account = {allowedRegions: ['west', 'north']};
    assert.deepEqual(findHomeRegions(route, account), ['west']);
    assert.deepEqual(findHomeRegions(route, {allowedRegions: ['north']}), []);
  });
});
