/** Streams that go on at their version, beside requests that any endpoint can take. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createPoolScheduler} from './pool_scheduler.js';
import {ANSWERED, makeEndpoints, makeRequest} from './scheduler_fixtures.js';
import type {SchedulerAction} from './scheduler_types.js';

/** Four endpoints, of which only the first is of v1. */
function createRelease(maxConcurrency = 1) {
  const scheduler = createPoolScheduler({maxConcurrency});
  const endpoints = makeEndpoints(4).map((endpoint, index) => ({
    ...endpoint,
    version: index === 0 ? 'v1' : 'v2',
  }));
  scheduler.setEndpoints(endpoints, 0);
  return {scheduler, endpoints};
}

function listGranted(actions: readonly SchedulerAction[]): string[] {
  return actions.flatMap(action =>
    action.kind === 'grant' ? [action.requestId] : [],
  );
}

describe('a batch item that goes on with a text', () => {
  const item = {workClass: 'batch', version: 'v1'} as const;

  // Guards against items that can no longer be in time and start before those that can,
  // only because they have run before: in a service of one version, all of them have.
  it('keeps its turn where all endpoints are of its version', () => {
    const scheduler = createPoolScheduler({maxConcurrency: 4});
    const [endpoint] = makeEndpoints(1);
    scheduler.setEndpoints([{...endpoint, version: 'v1'}], 0);
    scheduler.submit(makeRequest({id: 'first', workClass: 'batch'}), 0);
    const late = {...item, dueAt: 150, workMs: 500};
    scheduler.submit(makeRequest({id: 'late', ...late}), 1);
    const inTime = {...item, dueAt: 9000, workMs: 500};
    scheduler.submit(makeRequest({id: 'in-time', ...inTime}), 2);
    const next = scheduler.release('first', ANSWERED, 200);
    assert.deepEqual(listGranted(next), ['in-time']);
  });

  // Guards against an item that holds up the items behind it, or waits for ever.
  it('makes way for others, and is refused when its version is gone', () => {
    const {scheduler, endpoints} = createRelease(4);
    for (const id of ['a', 'b', 'c', 'd']) {
      scheduler.adopt(makeRequest({id}), endpoints[0].address, 0);
    }
    scheduler.submit(makeRequest({id: 'one', ...item}), 0);
    const other = scheduler.submit(
      makeRequest({id: 'other', workClass: 'batch'}),
      1,
    );
    assert.deepEqual(listGranted(other), ['other']);
    const left = scheduler.setEndpoints(endpoints.slice(1), 10);
    assert.equal(left[0]?.kind, 'refuse');
    assert.equal(left[0]?.requestId, 'one');
  });
});

describe('a request that goes on with a stream', () => {
  // Guards against a stream of which half is written by another version.
  it('is granted only an endpoint of its version', () => {
    const {scheduler, endpoints} = createRelease();
    const actions = ['one', 'two'].flatMap(id =>
      scheduler.submit(makeRequest({id, version: 'v1'}), 0),
    );
    assert.deepEqual(actions, [
      {kind: 'grant', requestId: 'one', endpoint: endpoints[0].address},
    ]);
    const next = scheduler.release('one', ANSWERED, 200);
    assert.deepEqual(listGranted(next), ['two']);
  });

  // Guards against an account whose other requests wait behind it.
  it('does not hold up requests that any endpoint can take', () => {
    const {scheduler} = createRelease();
    for (const id of ['one', 'two', 'three']) {
      scheduler.submit(makeRequest({id, version: 'v1'}), 0);
    }
    const others = ['a', 'b', 'c'].flatMap(id =>
      scheduler.submit(makeRequest({id}), 0),
    );
    assert.deepEqual(listGranted(others), ['a', 'b', 'c']);
  });

  // Guards against new streams that take the few slots of its version.
  it('starts before requests that any endpoint can take', () => {
    const {scheduler} = createRelease();
    for (const id of ['a', 'b', 'c', 'd', 'e']) {
      scheduler.submit(makeRequest({id}), 0);
    }
    scheduler.submit(makeRequest({id: 'one', version: 'v1'}), 1);
    const freed = ['a', 'b', 'c', 'd'].flatMap(id =>
      scheduler.release(id, ANSWERED, 200),
    );
    assert.deepEqual(listGranted(freed).toSorted(), ['e', 'one']);
  });

  // Guards against batch items that keep the slots of its version.
  it('makes items yield at endpoints of its version', () => {
    const {scheduler, endpoints} = createRelease();
    const item = makeRequest({id: 'item', workClass: 'batch'});
    scheduler.adopt(item, endpoints[0].address, 0);
    const actions = scheduler.submit(
      makeRequest({id: 'one', version: 'v1'}),
      100,
    );
    assert.deepEqual(actions, [{kind: 'yield', requestId: 'item'}]);
  });

  // Guards against waiting until the deadline for a version that is gone.
  it('is refused at once if no endpoint of its version takes work', () => {
    const {scheduler, endpoints} = createRelease();
    scheduler.submit(makeRequest({id: 'one', version: 'v1'}), 0);
    scheduler.submit(makeRequest({id: 'two', version: 'v1'}), 0);
    const left = scheduler.setEndpoints(endpoints.slice(1), 10);
    const late = scheduler.submit(
      makeRequest({id: 'three', version: 'v1'}),
      20,
    );
    for (const [index, action] of [...left, ...late].entries()) {
      assert.equal(action.kind, 'refuse');
      assert.equal(action.requestId, ['two', 'three'][index]);
      assert.equal(action.kind === 'refuse' && action.reason, 'no-endpoint');
    }
    assert.equal(left.length + late.length, 2);
  });
});
