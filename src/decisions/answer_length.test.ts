import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createAnswerLengths, UNKNOWN_ANSWER_TOKENS} from './answer_length.js';

describe('estimated answer length', () => {
  it('follows real answers instead of the limits of requests', () => {
    const lengths = createAnswerLengths();
    for (let answer = 0; answer < 10; answer++) lengths.note('a', 100);
    assert.equal(lengths.estimate('a', 4096), 100);
    assert.equal(lengths.estimate('a', undefined), 100);
    assert.equal(lengths.estimate('a', 16), 16);
    assert.equal(lengths.estimate('b', 4096), UNKNOWN_ANSWER_TOKENS);
  });

  it('changes little after one long answer', () => {
    const lengths = createAnswerLengths();
    for (let answer = 0; answer < 100; answer++) lengths.note('a', 100);
    lengths.note('a', 4096);
    assert.equal(lengths.estimate('a', undefined), 180);
  });

  it('follows a change of use', () => {
    const lengths = createAnswerLengths();
    for (let answer = 0; answer < 100; answer++) lengths.note('a', 100);
    for (let answer = 0; answer < 150; answer++) lengths.note('a', 20);
    assert.ok(lengths.estimate('a', undefined) < 25);
  });
});
