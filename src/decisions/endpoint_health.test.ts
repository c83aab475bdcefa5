import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createEndpointHealth} from './endpoint_health.js';
import {createPoolScheduler} from './pool_scheduler.js';
import {UNREACHABLE_MS} from './scheduler_constants.js';
import {ANSWERED, makeEndpoints, makeRequest} from './scheduler_fixtures.js';
import type {SchedulerAction} from './scheduler_types.js';

const UNREACHABLE = {kind: 'unreachable', tokens: 0} as const;

function findGrant(actions: readonly SchedulerAction[]): string | undefined {
  const grant = actions.find(({kind}) => kind === 'grant');
  return grant?.kind === 'grant' ? grant.endpoint : undefined;
}

describe('an endpoint that refuses connections', () => {
  // Guards against requests that use up their sends on crashed endpoints: where more than
  // a third of the endpoints had crashed, all of them got work.
  it('gets no work for a second, however many others do the same', () => {
    const scheduler = createPoolScheduler({maxConcurrency: 8});
    const endpoints = makeEndpoints(6);
    scheduler.setEndpoints(endpoints, 0);
    const alive = endpoints.at(-1)!;
    const refused: string[] = [];
    for (let sent = 0; sent < 24; sent++) {
      const id = `request-${sent}`;
      const now = 10 * sent;
      const endpoint = findGrant(scheduler.submit(makeRequest({id}), now));
      if (endpoint === undefined) continue;
      if (endpoint !== alive.address) refused.push(endpoint);
      const outcome = endpoint === alive.address ? ANSWERED : UNREACHABLE;
      scheduler.release(id, outcome, now);
    }
    assert.equal(refused.length, new Set(refused).size, refused.join());
  });

  it('is healthy once it answers, or after a second', () => {
    const health = createEndpointHealth();
    health.noteOutcome('unreachable', 0);
    assert.equal(health.isUnreachable(UNREACHABLE_MS - 1), true);
    assert.equal(health.isUnreachable(UNREACHABLE_MS), false);
    assert.equal(health.getState(), 'healthy');
    health.noteOutcome('unreachable', 2000);
    health.noteOutcome('answered', 2001);
    assert.equal(health.isUnreachable(2002), false);
  });
});
