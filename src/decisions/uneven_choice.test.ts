/** The scheduler's decisions on endpoints that report their pace. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {ALL_MECHANISMS} from './mechanisms.js';
import {createPoolScheduler, type PoolScheduler} from './pool_scheduler.js';
import {makeEndpoints, makeRequest} from './scheduler_fixtures.js';
import type {SchedulerAction, ScheduledRequest} from './scheduler_types.js';

const LIMITS = {maxConcurrency: 8};
/** Time to first byte of a usual endpoint, close to the initial prediction. */
const USUAL_MS = 70;

interface EndpointState {
  slots: number;
  online: number;
  health: string;
  limit: number | null;
  speed?: number;
  backlogMs: number;
}

function startScheduler(endpoints: number, reportedPace = true) {
  const scheduler = createPoolScheduler(LIMITS, {
    ...ALL_MECHANISMS,
    reportedPace,
  });
  scheduler.setEndpoints(makeEndpoints(endpoints), 0);
  return scheduler;
}

function listEndpoints(scheduler: PoolScheduler, now: number) {
  const state = scheduler.describe(now) as {endpoints: EndpointState[]};
  return state.endpoints;
}

function findGrant(actions: readonly SchedulerAction[]): string {
  const grant = actions.find(({kind}) => kind === 'grant');
  assert.ok(grant?.kind === 'grant', JSON.stringify(actions));
  return grant.endpoint;
}

function findFasterSecond(address: string): number {
  return address === SECOND ? USUAL_MS / 2 : USUAL_MS;
}

/** Runs one request, whose response takes `findMs` and reports `findPace`. */
function runRequest(
  scheduler: PoolScheduler,
  now: number,
  findMs: (address: string) => number,
  findPace: (address: string) => number | undefined,
  overrides: Partial<ScheduledRequest> = {},
): string {
  const request = makeRequest({deadline: now + 10_000, ...overrides});
  const address = findGrant(scheduler.submit(request, now));
  const firstByteMs = findMs(address);
  const at = now + firstByteMs;
  const pace = findPace(address);
  if (pace !== undefined) {
    const load = {running: 1, waiting: 0, slots: 8, pace};
    scheduler.noteLoad(address, load, at);
  }
  scheduler.noteFirstByte(request.id, firstByteMs, at);
  const outcome = {kind: 'answered', firstByteMs, tokens: 60} as const;
  scheduler.release(request.id, {...outcome, totalMs: 2000}, at + 1);
  return address;
}

/** Runs requests on each of two endpoints, of which the second is faster. */
function runOnBoth(scheduler: PoolScheduler) {
  for (let index = 0; index < 40; index++) {
    const avoid = [index % 2 === 0 ? SECOND : FIRST];
    runRequest(scheduler, index * 1000, findFasterSecond, () => 1, {avoid});
  }
}

const [FIRST, SECOND] = makeEndpoints(2).map(({address}) => address);

describe('an endpoint whose reported pace explains its lateness', () => {
  it('is not ejected, and keeps its limit', () => {
    // Guards against mistaking a machine that takes 4 times as long for some
    // time for a sick endpoint, or for one that queues requests.
    const scheduler = startScheduler(1);
    for (let index = 0; index < 40; index++) {
      runRequest(
        scheduler,
        index * 1000,
        () => 6 * USUAL_MS,
        () => 6,
      );
    }
    const [state] = listEndpoints(scheduler, 40_000);
    assert.equal(state.health, 'healthy');
    assert.equal(state.limit, Infinity);
  });

  it('is not ejected when the pace changed after the grant', () => {
    const scheduler = startScheduler(1);
    for (let index = 0; index < 40; index++) {
      const pace = Math.floor(index / 4) % 2 === 0 ? 1 : 6;
      const findMs = () => pace * USUAL_MS;
      runRequest(scheduler, index * 1000, findMs, () => pace);
    }
    const [state] = listEndpoints(scheduler, 40_000);
    assert.equal(state.health, 'healthy');
    assert.equal(state.limit, Infinity);
  });

  it('keeps its limit when its own prompts wait there', () => {
    const scheduler = startScheduler(1);
    for (let index = 0; index < 20; index++) {
      const load = {running: 1, waiting: 5, slots: 8, pace: 1};
      scheduler.noteLoad(FIRST, load, index * 100);
    }
    assert.equal(listEndpoints(scheduler, 2000)[0].limit, Infinity);
  });
});

describe('an endpoint that is slow at its usual pace', () => {
  it('is still ejected', () => {
    const scheduler = startScheduler(4);
    const findMs = (address: string) =>
      address === FIRST ? 8 * USUAL_MS : USUAL_MS;
    let runs = 0;
    for (let index = 0; index < 200; index++) {
      const now = index * 1000;
      const avoid = makeEndpoints(4).map(({address}) => address);
      const overrides = {avoid: avoid.filter(each => each !== FIRST)};
      if (listEndpoints(scheduler, now)[0].health === 'ejected') return;
      runRequest(scheduler, now, findMs, () => 1, index % 2 ? overrides : {});
      runs++;
    }
    assert.fail(`not ejected after ${runs} requests`);
  });
});

describe('the choice among endpoints that report their pace', () => {
  it('prefers the fastest of several endpoints that are faster than usual', () => {
    // Guards against a factor with a floor of 1, for which both are the same.
    const scheduler = startScheduler(3);
    const addresses = makeEndpoints(3).map(({address}) => address);
    const findMs = (address: string) =>
      USUAL_MS * [0.8, 0.5, 1.7][addresses.indexOf(address)];
    for (let index = 0; index < 60; index++) {
      const avoid = addresses.filter((_, each) => each !== index % 3);
      runRequest(scheduler, index * 1000, findMs, () => 1, {avoid});
    }
    for (let index = 60; index < 80; index++) {
      const chosen = runRequest(scheduler, index * 1000, findMs, () => 1);
      assert.equal(chosen, SECOND);
    }
  });

  it('avoids an endpoint while its reported pace is high', () => {
    const scheduler = startScheduler(2);
    for (const [address, pace] of [
      [FIRST, 2.5],
      [SECOND, 1],
    ] as const) {
      scheduler.noteLoad(address, {running: 1, waiting: 0, slots: 8, pace}, 0);
    }
    const address = findGrant(scheduler.submit(makeRequest(), 10));
    assert.equal(address, SECOND);
  });

  it('counts work that another dispatcher sent while it is fresh', () => {
    const scheduler = startScheduler(1);
    const load = {running: 8, waiting: 6, slots: 8, pace: 1};
    scheduler.noteLoad(FIRST, load, 0);
    const backlogs = [0, 300, 5000].map(
      now => listEndpoints(scheduler, now)[0].backlogMs,
    );
    assert.ok(backlogs[0] >= 200, `${backlogs}`);
    assert.ok(backlogs[1] > 0 && backlogs[1] < backlogs[0], `${backlogs}`);
    assert.equal(backlogs[2], 0);
  });

  it('gives no item to an endpoint on which it would miss its pauses', () => {
    // The other endpoint is busier, so that it is chosen for its pace only.
    const choose = (maxFactor?: number) => {
      const scheduler = startScheduler(2);
      const load = {running: 1, waiting: 0, slots: 8};
      for (let index = 0; index < 3; index++) {
        const request = makeRequest({avoid: [FIRST]});
        scheduler.submit(request, 0);
        scheduler.noteLoad(SECOND, {...load, pace: 1.9}, 100);
        scheduler.noteFirstByte(request.id, 100, 100);
      }
      scheduler.noteLoad(FIRST, {...load, pace: 2.1}, 100);
      const item = {workClass: 'batch', deadline: 60_000, maxFactor} as const;
      return [makeRequest(item), makeRequest(item)].map(each =>
        findGrant(scheduler.submit(each, 100)),
      );
    };
    assert.equal(choose()[0], FIRST);
    // An endpoint that is too slow is still better than none.
    assert.deepEqual(choose(2), [SECOND, FIRST]);
  });
});

describe('a new dispatcher', () => {
  it('receives the speeds with the latency of the previous one', () => {
    const previous = startScheduler(2);
    runOnBoth(previous);
    const next = startScheduler(2);
    next.importLatency(previous.exportLatency()!);
    const {speed} = listEndpoints(next, 0)[1];
    assert.ok(speed !== undefined && speed < 0.8, `${speed}`);
    assert.equal(findGrant(next.submit(makeRequest(), 0)), SECOND);
  });
});

describe('endpoints that report no pace', () => {
  it('are chosen, limited and described as without paces', () => {
    const sessions = [true, false].map(reportedPace => {
      const scheduler = startScheduler(3, reportedPace);
      const chosen: string[] = [];
      for (let index = 0; index < 200; index++) {
        const findMs = (address: string) =>
          (address === FIRST ? 2.8 : 0.5) * USUAL_MS * (1 + (index % 5) / 4);
        chosen.push(runRequest(scheduler, index * 97, findMs, () => undefined));
      }
      return {
        chosen,
        state: scheduler.describe(20_000),
        latency: scheduler.exportLatency(),
      };
    });
    assert.deepEqual(sessions[0], sessions[1]);
    assert.deepEqual(Object.keys(sessions[0].latency!), [
      'firstByte',
      'perTokenMs',
      'totals',
    ]);
  });
});
