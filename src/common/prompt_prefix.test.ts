import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {computeRequestPrefixes} from './prompt_prefix.js';

describe('prompt prefixes', () => {
  const template = 'Which residue class has this drum? '.repeat(100);
  const computeFor = (suffix: string, model = 'a') =>
    computeRequestPrefixes({model, prompt: template + suffix});

  it('are equal for prompts with the same leading blocks', () => {
    const [first, second] = [computeFor('17'), computeFor('x'.repeat(2000))];
    assert.equal(first.length, 3);
    assert.deepEqual(second.slice(0, 3), first);
    assert.equal(second.length, 5);
  });

  it('differ between models, and after the first difference in the text', () => {
    assert.notEqual(computeFor('17')[0], computeFor('17', 'b')[0]);
    const other = computeRequestPrefixes({model: 'a', prompt: `X${template}`});
    assert.equal(
      other.filter(hash => computeFor('17').includes(hash)).length,
      0,
    );
  });

  it('are empty for a short prompt', () => {
    assert.deepEqual(computeRequestPrefixes({model: 'a', prompt: 'hi'}), []);
  });
});
