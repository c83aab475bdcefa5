/** Endpoints that leave, and registrations that lapse with the store. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSilentLog} from '../../common/log.js';
import {createVirtualClock} from '../../common/virtual_clock.js';
import {
  REGISTRATION_RETURN_MS,
  type AnswerRun,
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
    address: '10.0.0.1:80',
    region: 'klang',
    failureDomain: 'klang-a',
    service: 'reader',
    slots: 8,
    state: 'live',
    ...overrides,
  };
}

const BOTH = [makeEndpoint('i-1'), makeEndpoint('i-2')];

/** Knows both endpoints, long after it started. */
function startDirectory() {
  const clock = createVirtualClock();
  const reports: {storeRun?: AnswerRun}[] = [];
  const directory = createEndpointDirectory({
    clock,
    log: createSilentLog(),
    heartbeatMs: HEARTBEAT_MS,
    listReports: () => reports,
    onChange() {},
  });
  directory.noteAnswer();
  directory.reset(BOTH);
  for (let second = 0; second < 5; second++) {
    clock.advance(1000);
    directory.noteAnswer();
  }
  const listNames = () => directory.list().map(({name}) => name);
  return {clock, reports, directory, listNames};
}

describe('endpoints', () => {
  it('leave at once when they drain or their registration is removed', () => {
    const {directory, listNames} = startDirectory();
    const leaving = makeEndpoint('i-1', {state: 'leaving'});
    directory.change([{name: 'i-1', endpoint: leaving}]);
    assert.equal(directory.list()[0].state, 'leaving');
    directory.change([{name: 'i-2'}]);
    assert.deepEqual(listNames(), ['i-1']);
  });

  describe('after an outage of the store for everybody', () => {
    // Guards against refusals for want of endpoints: registrations lapse while
    // the store is away, and the first answer after it lacks them.
    it('are kept until they have had time to return', () => {
      const {clock, directory, listNames} = startDirectory();
      clock.advance(OUTAGE_MS);
      directory.noteAnswer();
      directory.reset([makeEndpoint('i-1')]);
      assert.deepEqual(listNames(), ['i-1', 'i-2']);
      clock.advance(REGISTRATION_RETURN_MS + 1);
      assert.deepEqual(listNames(), ['i-1']);
    });

    it('stay when they return in time', () => {
      const {clock, directory, listNames} = startDirectory();
      clock.advance(OUTAGE_MS);
      directory.noteAnswer();
      directory.reset([]);
      directory.change(BOTH.map(endpoint => ({name: endpoint.name, endpoint})));
      clock.advance(REGISTRATION_RETURN_MS + 1);
      assert.deepEqual(listNames(), ['i-1', 'i-2']);
    });

    it('are given no more time by an instance that notices late', () => {
      // Guards against requests to an endpoint that left: the time to notice the
      // store's return and the time to return add up.
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

  describe('after this instance alone was without the store', () => {
    // Guards against requests to endpoints that left meanwhile.
    it('are gone when they are missing', () => {
      const {clock, reports, directory, listNames} = startDirectory();
      clock.advance(OUTAGE_MS);
      reports.push({storeRun: {from: 0, to: clock.now() - 1000}});
      directory.noteAnswer();
      directory.reset([makeEndpoint('i-1')]);
      assert.deepEqual(listNames(), ['i-1']);
    });

    it('are gone as soon as a peer tells that it was served', () => {
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

  it('are gone when missing after a silence too short to lapse in', () => {
    const {clock, directory, listNames} = startDirectory();
    clock.advance(INTERVALS_TO_LAPSE * HEARTBEAT_MS - 1);
    directory.noteAnswer();
    directory.change([{name: 'i-2'}]);
    assert.deepEqual(listNames(), ['i-1']);
  });
});
