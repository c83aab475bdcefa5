/** Pages that are made from code, or name what code has, are up to date. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {assertGolden} from '../../testing/golden.js';
import {renderConfigurationPage} from './configuration_page.js';

describe('docs', () => {
  it('CONFIGURATION.md tells what the schemas allow', () => {
    const page = renderConfigurationPage();
    assert.doesNotMatch(page, /\| {2}\|$/m, 'each key says what it does');
    assertGolden('../docs/CONFIGURATION.md', page);
  });
});
