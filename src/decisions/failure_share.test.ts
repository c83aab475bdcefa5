/**
 * Tests one endpoint that fails part of its requests while the others succeed.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../plays/random.js';
import {createFailureShare, MAX_RELAPSE_PAUSE_MS} from './failure_share.js';
import {ALL_MECHANISMS} from './mechanisms.js';
import {createPoolScheduler} from './pool_scheduler.js';
import {FIRST_PROBE_DELAY_MS} from './scheduler_constants.js';
import {makeEndpoints, makeRequest} from './scheduler_fixtures.js';
import type {SchedulerAction, SchedulerOutcome} from './scheduler_types.js';

const ENDPOINTS = 10;
const SLOTS = 8;
const RUN_MS = 700;
const ARRIVAL_GAP_MS = 17.5;
const FAULTY_MS = 6500;
const FAILED: SchedulerOutcome = {kind: 'failed', tokens: 0};
const ANSWERED: SchedulerOutcome = {
  kind: 'answered',
  firstByteMs: 40,
  totalMs: RUN_MS,
  tokens: 25,
};

/** Simulates an endpoint that fails `share` of its requests; returns counts. */
function simulateFaultyEndpoint(
  share: number,
  failureShares: boolean,
  seed: number,
) {
  const random = createRandom(seed);
  const mechanisms = {...ALL_MECHANISMS, failureShares};
  const scheduler = createPoolScheduler({maxConcurrency: SLOTS}, mechanisms);
  const endpoints = makeEndpoints(ENDPOINTS);
  const ends = new Map<number, [string, SchedulerOutcome][]>();
  let failed = 0;
  let sent = 0;

  function runActions(actions: readonly SchedulerAction[], now: number) {
    for (const action of actions) {
      if (action.kind !== 'grant') continue;
      const isFaulty = action.endpoint === endpoints[0].address;
      const hasFailed = isFaulty && random.draw() < share;
      if (hasFailed) failed++;
      const at = now + (hasFailed ? RUN_MS / 2 : RUN_MS);
      const due = ends.get(at) ?? [];
      const outcome = hasFailed ? FAILED : ANSWERED;
      ends.set(at, [...due, [action.requestId, outcome]]);
    }
  }

  runActions(scheduler.setEndpoints(endpoints, 0), 0);
  for (let now = 0; now < FAULTY_MS; now++) {
    for (const [id, outcome] of ends.get(now) ?? []) {
      runActions(scheduler.release(id, outcome, now), now);
    }
    for (; sent * ARRIVAL_GAP_MS <= now; sent++) {
      const request = makeRequest({deadline: now + 5000});
      runActions(scheduler.submit(request, now), now);
    }
    if (now % 20 === 0) runActions(scheduler.decide(now), now);
  }
  return {failed, sent};
}

function sumFailed(share: number, failureShares: boolean): number {
  let failed = 0;
  for (let seed = 1; seed <= 40; seed++) {
    failed += simulateFaultyEndpoint(share, failureShares, seed).failed;
  }
  return failed;
}

describe('an endpoint that fails part of its requests', () => {
  // Guards against an endpoint that fails every other request and stays in use:
  // three consecutive failures are rare, and one successful probe readmits it.
  // Requests may run only once, so callers would lose 1 in 20 of all requests.
  it('causes far fewer failed requests if its failure share is tracked', t => {
    const consecutiveOnly = sumFailed(0.45, false);
    const withShare = sumFailed(0.45, true);
    t.diagnostic(JSON.stringify({consecutiveOnly, withShare}));
    assert.ok(withShare < 0.6 * consecutiveOnly);
  });

  // Guards against ejecting a healthy endpoint because of occasional lost
  // answers.
  it('stays in use if it loses one request in 20', t => {
    const consecutiveOnly = sumFailed(0.05, false);
    const withShare = sumFailed(0.05, true);
    t.diagnostic(JSON.stringify({consecutiveOnly, withShare}));
    assert.ok(withShare > 0.8 * consecutiveOnly);
  });
});

describe('the pause of an endpoint that relapses', () => {
  it('grows to its bound and resets after a healthy period', () => {
    const share = createFailureShare();
    const pauses = [0, 100, 200, 300].map(now => {
      const pause = share.computePause(now);
      share.noteRecovery(now);
      return pause;
    });
    const twice = 2 * FIRST_PROBE_DELAY_MS;
    const most = MAX_RELAPSE_PAUSE_MS;
    assert.deepEqual(pauses, [FIRST_PROBE_DELAY_MS, twice, most, most]);
    assert.equal(share.computePause(10_000), FIRST_PROBE_DELAY_MS);
  });
});
