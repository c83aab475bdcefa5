import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createItemWork} from './item_work.js';

describe('the remaining time of an item', () => {
  it('is unknown before the first complete item', () => {
    const work = createItemWork();
    assert.equal(work.estimateRemaining(0), undefined);
    work.noteRun(100, 2000);
    assert.equal(work.estimateRemaining(0), undefined);
  });

  it('is the missing part of a mean item at the observed speed', () => {
    const work = createItemWork();
    work.noteRun(100, 2000);
    work.noteComplete(300);
    assert.equal(work.estimateRemaining(0), 6000);
    assert.equal(work.estimateRemaining(200), 2000);
    assert.equal(work.estimateRemaining(400), 0);
  });

  it('gives the factor beyond which pauses exceed their target', () => {
    const work = createItemWork();
    assert.equal(work.estimateMaxFactor(50), undefined);
    work.noteRun(100, 2000);
    assert.equal(work.estimateMaxFactor(50), 2.5);
    assert.equal(work.estimateMaxFactor(undefined), undefined);
  });

  it('is not learned from a run with too few pieces', () => {
    const work = createItemWork();
    work.noteRun(100, 2000);
    work.noteComplete(300);
    work.noteRun(1, 90);
    assert.equal(work.estimateRemaining(0), 6000);
  });
});
