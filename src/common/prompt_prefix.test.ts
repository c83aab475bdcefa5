import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {computeRequestPrefixes} from './prompt_prefix.js';

describe('prompt prefixes', () => {
  const template = 'Which residue class has this drum? '.repeat(100);
  const ask = (question: string, model = 'a') =>
    computeRequestPrefixes({model, prompt: template + question});

  it('are shared by prompts that begin alike', () => {
    const [first, second] = [ask('17'), ask('x'.repeat(2000))];
    assert.equal(first.length, 3);
    assert.deepEqual(second.slice(0, 3), first);
    assert.equal(second.length, 5);
  });

  it('differ between models and after a difference', () => {
    assert.notEqual(ask('17')[0], ask('17', 'b')[0]);
    const other = computeRequestPrefixes({model: 'a', prompt: `X${template}`});
    assert.equal(other.filter(hash => ask('17').includes(hash)).length, 0);
  });

  it('are none for a short prompt', () => {
    assert.deepEqual(computeRequestPrefixes({model: 'a', prompt: 'hi'}), []);
  });
});
