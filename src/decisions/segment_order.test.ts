import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
  createSegmentOrder,
  type JobCandidate,
  type SegmentOrder,
} from './segment_order.js';

const HOUR_MS = 3_600_000;
const SEGMENT = 512;
const CREDIT = 16 * SEGMENT;

function makeJob(
  jobId: string,
  account: string,
  overrides: Partial<JobCandidate> = {},
): JobCandidate {
  return {
    jobId,
    account,
    weight: 1,
    dueAt: 24 * HOUR_MS,
    createdAt: 0,
    remainingItems: 10_000,
    ...overrides,
  };
}

/** Claims `count` segments; returns how many each job received. */
function simulateClaims(
  order: SegmentOrder,
  jobs: readonly JobCandidate[],
  count: number,
): Record<string, number> {
  const given: Record<string, number> = {};
  for (let claim = 0; claim < count; claim++) {
    const job = order.chooseJob(jobs, 0)!;
    order.noteClaimed(job.account, SEGMENT, job.weight);
    given[job.jobId] = (given[job.jobId] ?? 0) + 1;
  }
  return given;
}

describe('segment order', () => {
  it('gives accounts turns by weight regardless of their number of jobs', () => {
    const order = createSegmentOrder(CREDIT);
    const jobs = [
      makeJob('a1', 'a'),
      makeJob('a2', 'a'),
      makeJob('a3', 'a'),
      makeJob('b1', 'b', {weight: 2}),
    ];
    const {b1, ...others} = simulateClaims(order, jobs, 300);
    assert.equal(b1, 200);
    assert.equal(
      Object.values(others).reduce((sum, one) => sum + one),
      100,
    );
  });

  it('chooses the job with the least laxity within an account', () => {
    const order = createSegmentOrder(CREDIT);
    const long = makeJob('long', 'a', {remainingItems: 290_000});
    const soon = makeJob('soon', 'a', {dueAt: 23.5 * HOUR_MS});
    assert.equal(order.chooseJob([soon, long], 0)?.jobId, 'long');
  });

  it('chooses a job that would be late before its account has its turn', () => {
    const order = createSegmentOrder(CREDIT);
    const calm = makeJob('calm', 'a');
    const urgent = makeJob('urgent', 'b', {dueAt: HOUR_MS / 6});
    order.noteClaimed('b', SEGMENT, 1);
    assert.equal(order.chooseJob([calm, urgent], 0)?.jobId, 'urgent');
  });

  it('limits an account with only urgent jobs to its credit', () => {
    const order = createSegmentOrder(CREDIT);
    const calm = makeJob('calm', 'a');
    const urgent = makeJob('urgent', 'b', {dueAt: 1});
    const given = simulateClaims(order, [calm, urgent], 1000);
    assert.ok(given.urgent - given.calm <= 2 * 16, JSON.stringify(given));
  });

  it('does not let an idle account accumulate claims', () => {
    const order = createSegmentOrder(CREDIT);
    const a = makeJob('a1', 'a');
    const b = makeJob('b1', 'b');
    simulateClaims(order, [a], 100);
    const given = simulateClaims(order, [a, b], 100);
    assert.ok(Math.abs(given.a1 - given.b1) <= 1, JSON.stringify(given));
  });

  it('still charges an account for its earlier excess when it returns', () => {
    const order = createSegmentOrder(CREDIT);
    const a = makeJob('a1', 'a');
    const b = makeJob('b1', 'b', {dueAt: 1});
    const first = simulateClaims(order, [a, b], 20);
    order.chooseJob([a], 0);
    const calm = {...b, dueAt: 24 * HOUR_MS};
    const then = simulateClaims(order, [a, calm], 20);
    assert.ok(then.a1 > then.b1, JSON.stringify({first, then}));
  });
});
