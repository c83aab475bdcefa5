/**
 * Endpoints that leave, and registrations that lapse while the store is
 * unavailable.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSilentLog} from '../../common/log.js';
import {createVirtualClock} from '../../common/virtual_clock.js';
import {
  REGISTRATION_RETURN_MS,
  type AnswerPeriod,
} from '../../decisions/store_answers.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import {INTERVALS_TO_LAPSE} from './constants.js';
import {createEndpointDirectory} from './endpoint_directory.js';

const HEARTBEAT_MS = 1200;
const OUTAGE_MS = 10_000;

function makeEndpoint(name: string, overrides: object = {}): ListedInstance {
  return {
    name,
    role: 'endpoint',
    address: `${name}:80`,
    region: 'klang',
    failureDomain: 'klang-a',
    service: 'reader',
    slots: 8,
    state: 'live',
    ...overrides,
  };
}

const BOTH = [makeEndpoint('i-1'), makeEndpoint('i-2')];

/**
 * Creates a directory that has listed both endpoints and has read the store for
 * 5 s.
 */
function startDirectory() {
  const clock = createVirtualClock();
  const reports: {storeRun?: AnswerPeriod}[] = [];
  const evacuated = new Set<string>();
  const returnedAt = new Map<string, number>();
  const directory = createEndpointDirectory({
    clock,
    log: createSilentLog(),
    heartbeatMs: HEARTBEAT_MS,
    listReports: () => reports,
    evacuations: {
      isEvacuated: domain => evacuated.has(domain),
      getReturnedAt: domain => returnedAt.get(domain) ?? -Infinity,
    },
    onChange() {},
  });
  directory.noteAnswer();
  directory.reset(BOTH);
  for (let second = 0; second < 5; second++) {
    clock.advance(1000);
    directory.noteAnswer();
  }
  const listNames = () => directory.list().map(({name}) => name);
  return {clock, reports, directory, listNames, evacuated, returnedAt};
}

describe('an endpoint that started again at its address', () => {
  // Guards against requests to the name of a crashed process, which the new process
  // at its address refuses until the old registration lapses.
  it('replaces the one that crashed there', () => {
    const {directory, listNames} = startDirectory();
    const again = makeEndpoint('i-3', {address: BOTH[0].address});
    directory.change([{name: 'i-3', endpoint: again}]);
    assert.deepEqual(listNames().sort(), ['i-2', 'i-3']);
    directory.change([{name: 'i-1'}]);
    assert.deepEqual(listNames().sort(), ['i-2', 'i-3']);
  });

  // Guards against an address that is lost because another writer registered it.
  it('is passed over when a request for it was refused there', () => {
    const {directory, listNames} = startDirectory();
    const wrong = makeEndpoint('i-3', {address: BOTH[0].address});
    directory.change([{name: 'i-3', endpoint: wrong}]);
    directory.noteMisdirected('i-3');
    assert.deepEqual(listNames().sort(), ['i-1', 'i-2']);
    directory.change([{name: 'i-3', endpoint: wrong}]);
    assert.deepEqual(listNames().sort(), ['i-2', 'i-3']);
  });

  it('is the one that registered last, also when all are read anew', () => {
    const {directory, listNames} = startDirectory();
    const again = makeEndpoint('i-0', {address: BOTH[0].address});
    directory.reset([...BOTH, again]);
    assert.deepEqual(listNames().sort(), ['i-0', 'i-2']);
    directory.reset([again, ...BOTH]);
    assert.deepEqual(listNames().sort(), ['i-1', 'i-2']);
  });
});

describe('endpoints', () => {
  it('leave at once when they drain or their registration is removed', () => {
    const {directory, listNames} = startDirectory();
    const leaving = makeEndpoint('i-1', {state: 'leaving'});
    directory.change([{name: 'i-1', endpoint: leaving}]);
    assert.equal(directory.list()[0].state, 'leaving');
    directory.change([{name: 'i-2'}]);
    assert.deepEqual(listNames(), ['i-1']);
  });

  it('are listed as leaving while their failure domain is evacuated', () => {
    const {directory, evacuated} = startDirectory();
    evacuated.add('klang-a');
    const [first] = directory.list();
    assert.equal(first.state, 'leaving');
    // Members compare entries by identity to notice that nothing changed.
    assert.equal(directory.list()[0], first);
    evacuated.clear();
    assert.equal(directory.list()[0].state, 'live');
  });

  describe('are cold', () => {
    const WARM_UP_MS = 3000;

    it('for as long as they state', () => {
      const {clock, directory} = startDirectory();
      const endpoint = makeEndpoint('i-1', {coldLeftMs: 900});
      directory.change([{name: 'i-1', endpoint}]);
      const until = directory.findColdUntil(endpoint, WARM_UP_MS);
      assert.equal(until, clock.now() + 900);
    });

    it('for a whole warm-up if they are new and state nothing', () => {
      const {clock, directory} = startDirectory();
      const endpoint = makeEndpoint('i-3');
      directory.change([{name: 'i-3', endpoint}]);
      const until = directory.findColdUntil(endpoint, WARM_UP_MS);
      assert.equal(until, clock.now() + WARM_UP_MS);
    });

    it('not if they were there before this instance', () => {
      const {clock, directory} = startDirectory();
      const until = directory.findColdUntil(BOTH[0], WARM_UP_MS);
      assert.ok(until < clock.now());
    });

    // Endpoints of an evacuated domain come back cold, and their registrations say
    // so only later.
    it('for a whole warm-up after an evacuation', () => {
      const {clock, directory, returnedAt} = startDirectory();
      returnedAt.set('klang-a', clock.now());
      const until = directory.findColdUntil(BOTH[0], WARM_UP_MS);
      assert.equal(until, clock.now() + WARM_UP_MS);
    });
  });

  describe('after an outage of the store for all instances', () => {
    // Guards against refused requests because no endpoint is known:
    // registrations lapse while the store is unavailable, so the first response
    // after the outage lacks them.
    it('are retained until they have had time to register again', () => {
      const {clock, directory, listNames} = startDirectory();
      clock.advance(OUTAGE_MS);
      directory.noteAnswer();
      directory.reset([makeEndpoint('i-1')]);
      assert.deepEqual(listNames(), ['i-1', 'i-2']);
      clock.advance(REGISTRATION_RETURN_MS + 1);
      assert.deepEqual(listNames(), ['i-1']);
    });

    it('stay when they register again in time', () => {
      const {clock, directory, listNames} = startDirectory();
      clock.advance(OUTAGE_MS);
      directory.noteAnswer();
      directory.reset([]);
      directory.change(BOTH.map(endpoint => ({name: endpoint.name, endpoint})));
      clock.advance(REGISTRATION_RETURN_MS + 1);
      assert.deepEqual(listNames(), ['i-1', 'i-2']);
    });

    it('get no extra time from an instance that notices the recovery late', () => {
      // Guards against requests to an endpoint that has left: the delay until
      // this instance notices that the store has recovered must not be added to
      // the time allowed for registering again.
      const {clock, reports, directory, listNames} = startDirectory();
      clock.advance(OUTAGE_MS);
      const from = clock.now();
      clock.advance(1600);
      reports.push({storeRun: {from, to: clock.now()}});
      directory.noteAnswer();
      directory.reset([makeEndpoint('i-1')]);
      assert.deepEqual(listNames(), ['i-1', 'i-2']);
      clock.advance(REGISTRATION_RETURN_MS - 1600 + 1);
      assert.deepEqual(listNames(), ['i-1']);
    });
  });

  describe('after only this instance was without store access', () => {
    // Guards against requests to endpoints that left during the outage.
    it('are removed when they are missing', () => {
      const {clock, reports, directory, listNames} = startDirectory();
      clock.advance(OUTAGE_MS);
      reports.push({storeRun: {from: 0, to: clock.now() - 1000}});
      directory.noteAnswer();
      directory.reset([makeEndpoint('i-1')]);
      assert.deepEqual(listNames(), ['i-1']);
    });

    it('are removed once a peer reports that the store answered it', () => {
      const {clock, reports, directory, listNames} = startDirectory();
      clock.advance(OUTAGE_MS);
      directory.noteAnswer();
      directory.reset([makeEndpoint('i-1')]);
      assert.deepEqual(listNames(), ['i-1', 'i-2']);
      reports.push({storeRun: {from: 0, to: clock.now() - 100}});
      directory.expire(clock.now());
      assert.deepEqual(listNames(), ['i-1']);
    });
  });

  it('are removed when missing after a silence too short for a lapse', () => {
    const {clock, directory, listNames} = startDirectory();
    clock.advance(INTERVALS_TO_LAPSE * HEARTBEAT_MS - 1);
    directory.noteAnswer();
    directory.change([{name: 'i-2'}]);
    assert.deepEqual(listNames(), ['i-1']);
  });
});
