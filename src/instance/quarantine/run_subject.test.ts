import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {MAX_KEPT_ID_CHARACTERS} from '../../common/ids.js';
import {MAX_PARTS} from './constants.js';
import {buildRunSubject} from './run_subject.js';

describe('the parts of a run', () => {
  // Guards against rows and memory that grow with what callers send.
  it('are bounded in number and length, and free of separators', () => {
    const long = 'x'.repeat(10_000);
    const many = Array.from({length: 100}, (_, index) => `p${index}`);
    const {parts} = buildRunSubject('c', ['a', 'a', 'b,c', long, ...many]);
    assert.equal(parts.length, MAX_PARTS);
    assert.equal(parts[0], 'a');
    assert.equal(new Set(parts).size, MAX_PARTS);
    for (const part of parts) {
      assert.ok(part.length <= MAX_KEPT_ID_CHARACTERS);
      assert.ok(!part.includes(','));
    }
  });
});
