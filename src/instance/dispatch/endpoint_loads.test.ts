/** How the loads that endpoints state reach the instance that dispatches. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {makeEndpoint} from '../../testing/fixtures.js';
import {MAX_POOL_ENDPOINTS, RELEASE_INTERVAL_MS} from './constants.js';
import type {Slot} from './dispatch.js';
import {createFakeFleet, makeSlotRequest} from './fake_fleet.js';
import type {FleetDispatch} from './fleet_dispatch.js';
import {createKnownLatencies, mergeLatencies} from './known_latencies.js';

const ENTRIES = ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'];
const ENDPOINT = '127.0.0.1:101';
const ANSWERED = {kind: 'answered', tokens: 1} as const;
const LOAD = {running: 1, waiting: 0, slots: 4};

type Fleet = ReturnType<typeof createFakeFleet>;

interface DescribedEndpoint {
  pace?: number;
  speed?: number;
}

/** Returns what an instance knows, as a dispatcher, of the endpoint. */
function findDescribed(dispatch: FleetDispatch): DescribedEndpoint | undefined {
  const {pools} = dispatch.describeState() as {
    pools: Record<string, {scheduler: {endpoints: DescribedEndpoint[]}}>;
  };
  return Object.values(pools)[0]?.scheduler.endpoints[0];
}

async function acquire(fleet: Fleet, dispatch: FleetDispatch, id: string) {
  let slot: Slot | undefined;
  void dispatch.acquireSlot(makeSlotRequest(id)).then(granted => {
    slot = granted;
  });
  for (let step = 0; step < 100 && !slot; step++) {
    await fleet.clock.advanceAsync(50);
  }
  assert.ok(slot, `no slot for ${id}`);
  return slot;
}

/** Runs a request whose first byte comes after 20 ms, with a load. */
async function runRequest(
  fleet: Fleet,
  dispatch: FleetDispatch,
  id: string,
  load: Parameters<NonNullable<Slot['noteFirstByte']>>[1],
) {
  const slot = await acquire(fleet, dispatch, id);
  slot.noteFirstByte!(20, load);
  slot.release(ANSWERED);
  await fleet.clock.advanceAsync(RELEASE_INTERVAL_MS + 10);
}

/** Acquires a slot at an instance to which all others are silent. */
async function acquireAlone() {
  const entries = [...ENTRIES, '127.0.0.1:4'];
  for (const self of entries) {
    const fleet = createFakeFleet(entries, [makeEndpoint(ENDPOINT)]);
    for (const each of entries) {
      if (each !== self) fleet.network.silent.add(each);
    }
    const holder = fleet.instances.get(self)!;
    const slot = await acquire(fleet, holder, 'first');
    if (slot.way === 'alone') return {slot, holder};
  }
  throw new Error('no instance used fallback dispatch');
}

describe('the load that an endpoint states', () => {
  it('reaches the dispatcher with the first byte, if it has a pace', async () => {
    const fleet = createFakeFleet(ENTRIES, [makeEndpoint(ENDPOINT)]);
    const [[, holder]] = fleet.others;
    await runRequest(fleet, holder, 'a', LOAD);
    await runRequest(fleet, holder, 'b', 'unreadable');
    const [, owner] = fleet.owner;
    assert.equal(findDescribed(owner)?.pace, undefined);
    await runRequest(fleet, holder, 'c', {...LOAD, pace: 2.5});
    assert.ok(findDescribed(owner)!.pace! > 1.5);
  });

  it('is used by the dispatcher for its own requests', async () => {
    const fleet = createFakeFleet(ENTRIES, [makeEndpoint(ENDPOINT)]);
    const [, owner] = fleet.owner;
    await runRequest(fleet, owner, 'a', {...LOAD, pace: 2.5});
    assert.ok(findDescribed(owner)!.pace! > 1.5);
  });

  it('leaves the learned speed to the next dispatcher', async () => {
    // Guards against a takeover after which fast endpoints are not preferred
    // until their speeds are learned again.
    const fleet = createFakeFleet(ENTRIES, [makeEndpoint(ENDPOINT)], {
      hasGather: true,
    });
    const [lost, owner] = fleet.owner;
    const [[, holder]] = fleet.others;
    for (let index = 0; index < 20; index++) {
      await runRequest(fleet, holder, `r${index}`, {...LOAD, pace: 1});
    }
    const {speed} = findDescribed(owner)!;
    assert.ok(speed! < 0.9, `${speed}`);
    fleet.live.delete(lost);
    fleet.network.silent.add(lost);
    await runRequest(fleet, holder, 'after', undefined);
    const next = fleet.others.find(([, each]) => findDescribed(each));
    assert.ok(next, 'no other instance dispatches');
    const taken = findDescribed(next[1])!.speed!;
    assert.ok(Math.abs(taken - speed!) < 0.05, `${taken}`);
  });

  it('is used in fallback dispatch by the instance that received it', async () => {
    const {slot, holder} = await acquireAlone();
    slot.noteFirstByte!(40, {...LOAD, pace: 2.5});
    const {fallbackPools} = holder.describeState() as {
      fallbackPools: Record<
        string,
        {scheduler: {endpoints: DescribedEndpoint[]}}
      >;
    };
    const [{scheduler}] = Object.values(fallbackPools);
    assert.ok(scheduler.endpoints[0].pace! > 1.5);
  });
});

describe('known latencies', () => {
  const latency = {
    firstByte: {base: 30, slope: 0.1},
    totals: {online: 1, batch: 2},
  };

  it('collect the speeds that came with single slots', () => {
    const known = createKnownLatencies();
    known.note('pool', {...latency, speeds: {a: 0.5}});
    known.note('pool', {...latency, speeds: {b: 2}});
    known.note('pool', {...latency, speeds: {a: 0.7}});
    assert.deepEqual(known.find('pool')?.speeds, {a: 0.7, b: 2});
  });

  it('are the same as before without speeds', () => {
    assert.equal(mergeLatencies([undefined, latency]), latency);
  });

  it('hold at most the speeds of one pool', () => {
    // Guards against memory that grows with each endpoint that is replaced.
    const known = createKnownLatencies();
    for (let index = 0; index < 3 * MAX_POOL_ENDPOINTS; index++) {
      known.note('pool', {...latency, speeds: {[`e${index}`]: 1}});
    }
    const speeds = Object.keys(known.find('pool')!.speeds!);
    assert.equal(speeds.length, MAX_POOL_ENDPOINTS);
    assert.ok(speeds.includes(`e${3 * MAX_POOL_ENDPOINTS - 1}`));
  });
});
