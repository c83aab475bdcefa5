/** The memory of an endpoint, shared by instances that lose their dispatcher. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {TAKEOVER_GUARD_MS} from '../../decisions/engine_memory.js';
import {makeEndpoint} from '../../testing/fixtures.js';
import {
  ACQUIRE_GRACE_MS,
  ACQUIRE_POLL_MS,
  GATHER_TIMEOUT_MS,
  MAX_SILENT_DISPATCHERS,
  RELEASE_INTERVAL_MS,
  REPORT_INTERVAL_MS,
  UNREPORTED_SLOT_MS,
} from './constants.js';
import type {Slot} from './dispatch.js';
import {createFakeFleet, makeSlotRequest} from './fake_fleet.js';
import type {FleetDispatch} from './fleet_dispatch.js';

const ENTRIES = [1, 2, 3, 4].map(port => `127.0.0.1:${port}`);
const ENDPOINTS = [makeEndpoint('127.0.0.1:101')];
const DISPATCHER_TIMEOUT_MS = ACQUIRE_POLL_MS + ACQUIRE_GRACE_MS;
const ANSWERED = {kind: 'answered', tokens: 1} as const;
/** Tokens of each request: its prompt and its answer. */
const SIZE = 150;
/** Room for three requests beside the part that is left to a second dispatcher. */
const MEMORY = 4 * SIZE;

type Fleet = ReturnType<typeof createFakeFleet>;

/** Asks for slots in turn at the given instances and collects those granted. */
function askForSlots(
  dispatches: readonly FleetDispatch[],
  count: number,
  overrides = {},
): Slot[] {
  const granted: Slot[] = [];
  for (let index = 0; index < count; index++) {
    const dispatch = dispatches[index % dispatches.length];
    const id = `req-${Math.random()}`;
    dispatch.acquireSlot(makeSlotRequest(id, 'online', overrides)).then(
      slot => granted.push(slot),
      () => {},
    );
  }
  return granted;
}

/** Opens the pool, and waits until its dispatcher uses the whole memory. */
async function startFleet(memoryTokens?: number): Promise<Fleet> {
  const fleet = createFakeFleet(ENTRIES, ENDPOINTS, {
    hasGather: true,
    memoryTokens,
  });
  const [first] = [...fleet.instances.values()];
  const granted = askForSlots([first], 1, {memoryTokens: 1});
  await fleet.clock.advanceAsync(GATHER_TIMEOUT_MS + 10);
  granted[0].release(ANSWERED);
  await fleet.clock.advanceAsync(TAKEOVER_GUARD_MS);
  return fleet;
}

/** Lists the sizes that instances report of the slots they hold. */
function listReportedSizes(fleet: Fleet) {
  const [{name}] = fleet.owner[1].pools.list();
  return [...fleet.instances.values()]
    .flatMap(dispatch => dispatch.describePool(name).slots)
    .map(({request}) => request.memoryTokens);
}

describe('the memory of an endpoint over all instances', () => {
  it('bounds the slots that are granted', async () => {
    const fleet = await startFleet(MEMORY);
    const granted = askForSlots([...fleet.instances.values()], 4);
    await fleet.clock.advanceAsync(10);
    assert.equal(granted.length, 3);
    const [{dispatcher}] = fleet.owner[1].pools.list();
    assert.equal(dispatcher.takeMemoryWaits(), 1);
    granted[0].release(ANSWERED);
    await fleet.clock.advanceAsync(RELEASE_INTERVAL_MS + 30);
    assert.equal(granted.length, 4);
  });

  it('does not matter if it is not stated', async () => {
    const fleet = await startFleet();
    const sizes = {memoryTokens: 2e9};
    const granted = askForSlots([...fleet.instances.values()], 4, sizes);
    await fleet.clock.advanceAsync(10);
    assert.equal(granted.length, 4);
    assert.deepEqual(listReportedSizes(fleet), Array(4).fill(undefined));
  });

  it('is known to the caller whose request can never fit', async () => {
    const fleet = await startFleet(MEMORY);
    const [, remote] = fleet.others[0];
    const pending = remote.acquireSlot(
      makeSlotRequest('large', 'online', {memoryTokens: MEMORY + 1}),
    );
    const refused = assert.rejects(pending, {
      code: 'exceeds_memory',
      verdict: 'not-run',
      retryAfterMs: undefined,
    });
    await fleet.clock.advanceAsync(10);
    await refused;
  });

  it('is reported with each slot, as the request states it', async () => {
    const fleet = await startFleet(MEMORY);
    askForSlots([...fleet.instances.values()], 1, {memoryTokens: 2 * SIZE});
    await fleet.clock.advanceAsync(10);
    assert.deepEqual(listReportedSizes(fleet), [2 * SIZE]);
  });

  // A new dispatcher that does not know what runs fills the memory a second time.
  it('counts what runs when another instance takes over', async () => {
    const fleet = await startFleet(MEMORY);
    const others = fleet.others.map(([, dispatch]) => dispatch);
    const before = askForSlots(others, 3);
    await fleet.clock.advanceAsync(10);
    assert.equal(before.length, 3);
    fleet.network.silent.add(fleet.owner[0]);
    fleet.live.delete(fleet.owner[0]);
    const after = askForSlots(others, 3);
    const timeouts = DISPATCHER_TIMEOUT_MS + GATHER_TIMEOUT_MS;
    await fleet.clock.advanceAsync(timeouts + TAKEOVER_GUARD_MS);
    assert.equal(after.length, 0);
    // Three of the four instances use three quarters: room for two requests.
    before[0].release(ANSWERED);
    before[1].release(ANSWERED);
    await fleet.clock.advanceAsync(RELEASE_INTERVAL_MS + 30);
    assert.equal(after.length, 1);
  });
});

describe('an instance in fallback dispatch', () => {
  /** Cuts off an instance that is not the dispatcher while it holds two slots. */
  async function startCutOff() {
    for (const self of ENTRIES) {
      // Its part is a quarter, which has room for two requests.
      const fleet = await startFleet(10 * SIZE);
      const dispatch = fleet.instances.get(self)!;
      const before = askForSlots([dispatch], 2);
      await fleet.clock.advanceAsync(10);
      for (const each of ENTRIES) {
        if (each !== self) fleet.network.silent.add(each);
      }
      const lost = askForSlots([dispatch], 1);
      const silences = MAX_SILENT_DISPATCHERS + 1;
      await fleet.clock.advanceAsync(silences * DISPATCHER_TIMEOUT_MS + 10);
      if (dispatch.pools.list().length === 0) {
        return {fleet, dispatch, before, lost};
      }
    }
    throw new Error('no instance used fallback dispatch');
  }

  // Its own requests fill its part already, whoever granted them.
  it('counts the slots that the dispatcher granted to it', async () => {
    const {fleet, dispatch, before, lost} = await startCutOff();
    assert.deepEqual([before.length, lost.length], [2, 0]);
    for (let waited = 0; waited <= UNREPORTED_SLOT_MS; waited += 1000) {
      if (waited % REPORT_INTERVAL_MS === 0) dispatch.report();
      await fleet.clock.advanceAsync(1000);
      dispatch.refresh();
    }
    assert.equal(lost.length, 0, 'long requests stay counted');
    before[0].release(ANSWERED);
    before[1].release(ANSWERED);
    await fleet.clock.advanceAsync(30);
    assert.equal(lost.length, 1);
  });

  it('refuses what needs more than its part, to be retried', async () => {
    const {fleet, dispatch} = await startCutOff();
    const pending = dispatch.acquireSlot(
      makeSlotRequest('large', 'online', {memoryTokens: 3 * SIZE}),
    );
    const refused = assert.rejects(pending, {code: 'overloaded'});
    await fleet.clock.advanceAsync(10);
    await refused;
  });
});
