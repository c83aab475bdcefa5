import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createJobView, findOpenSegment, updateView} from './job_view.js';
import type {SegmentRecord} from './records.js';
import {buildClaim, buildRelease} from './segment_plan.js';

const WORK = {
  account: 'gate',
  upload: 'upload-1',
  items: 12,
  segments: 3,
  createdAt: 0,
  dueAt: 0,
};

function makeStored(version: number, record: SegmentRecord) {
  return {id: '0', version, record};
}

describe('job view', () => {
  it('retains its own write when an older read arrives late', () => {
    const job = createJobView('job', WORK, 0);
    const claim = buildClaim(undefined, 'run-a');
    job.running.add(0);
    job.segments.set(0, makeStored(2, {...claim, done: 4}));
    updateView(job, new Map([[0, makeStored(1, claim)]]), 0);
    assert.equal(job.segments.get(0)?.version, 2);
  });

  it('finds released and unclaimed segments, beginning at its start', () => {
    const job = createJobView('job', WORK, 1);
    const claim = buildClaim(undefined, 'run-a');
    const released = buildRelease(claim, 0, {idempotent: true});
    job.segments.set(1, makeStored(1, claim));
    assert.equal(findOpenSegment(job), 2);
    job.running.add(2);
    assert.equal(findOpenSegment(job), 0);
    updateView(job, new Map([[1, makeStored(2, released)]]), 0);
    assert.equal(findOpenSegment(job), 1);
  });
});
