import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createItemWork} from './item_work.js';

describe('the rest of an item', () => {
  it('is not known before an item was seen whole', () => {
    const work = createItemWork();
    assert.equal(work.estimateRest(0), undefined);
    work.noteRun(100, 2000);
    assert.equal(work.estimateRest(0), undefined);
  });

  it('is what is missing of a mean item, at the pace that was seen', () => {
    const work = createItemWork();
    work.noteRun(100, 2000);
    work.noteWhole(300);
    assert.equal(work.estimateRest(0), 6000);
    assert.equal(work.estimateRest(200), 2000);
    assert.equal(work.estimateRest(400), 0);
  });

  it('is not learned from a run that was hardly begun', () => {
    const work = createItemWork();
    work.noteRun(100, 2000);
    work.noteWhole(300);
    work.noteRun(1, 90);
    assert.equal(work.estimateRest(0), 6000);
  });
});
