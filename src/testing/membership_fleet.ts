/**
 * A fleet of real members, directories and presence checks on virtual time, with
 * a table in memory. Instances can be lost, cut off from each other or from the
 * store, and frozen.
 */
import type {Clock} from '../common/clock.js';
import {createSilentLog} from '../common/log.js';
import {createMetrics} from '../common/metrics.js';
import {
  createVirtualClock,
  type VirtualClock,
} from '../common/virtual_clock.js';
import {
  ENTRY_UPKEEP_INTERVAL_MS,
  HEARTBEAT_INTERVAL_MS,
  HEARTBEAT_TIMEOUT_MS,
} from '../instance/members/constants.js';
import {
  createEntryDirectory,
  type EntryDirectory,
} from '../instance/members/entry_directory.js';
import type {Heartbeat} from '../instance/members/heartbeat_router.js';
import {createMembers, type Members} from '../instance/members/members.js';
import {createPresenceChecks} from '../instance/members/presence_checks.js';
import {CHECK_KEY} from '../instance/members/presence_rows.js';
import {createRandom, type Random} from '../plays/random.js';
import {createMemoryPlatform} from '../stand_ins/platform/memory_platform.js';
import type {
  CollectionListener,
  CollectionWatch,
  RowChange,
} from '../stores/collections.js';
import {StoreError, type TableStore} from '../stores/table_store.js';
import {
  createFakePeerNetwork,
  type FakePeerNetwork,
} from './fake_peer_network.js';
import {createMemoryWatch, type MemoryWatch} from './memory_watch.js';

/** Time of a call of the store, and of a notification by it. */
const STORE_DELAY_MS = 5;

/** Pause of a feed after it has delivered changes. */
const FEED_PAUSE_MS = 500;

/** One instance of the fleet, with its view of the others. */
export interface FleetInstance {
  name: string;
  failureDomain: string;
  members: Members;
  directory: EntryDirectory;
  /** Whether it may take over the work of an instance that it finds silent. */
  mayTakeOver(name: string): boolean;
}

/** A fleet whose instances run until they are lost. */
export interface MembershipFleet {
  clock: VirtualClock;
  network: FakePeerNetwork;
  random: Random;
  instances: FleetInstance[];
  /** Ends instances for good. */
  lose(names: readonly string[]): void;
  /** Pauses instances: they receive and do nothing until they continue. */
  freeze(names: readonly string[]): void;
  unfreeze(names: readonly string[]): void;
  /** Cuts instances off from the store, or connects them again. */
  setStoreCut(names: readonly string[], isCut: boolean): void;
  /** Cuts the connections between the instances of two groups, or restores them. */
  setPeersCut(
    group: readonly string[],
    others: readonly string[],
    isCut: boolean,
  ): void;
  /** Number of the last presence check; 0 if there was none. */
  findCheckNumber(): Promise<number>;
}

/** The faults of one instance, and what waits until it continues. */
interface InstanceState {
  isLost: boolean;
  isFrozen: boolean;
  isStoreCut: boolean;
  waiting: (() => void)[];
}

interface FleetParts {
  clock: VirtualClock;
  network: FakePeerNetwork;
  watch: MemoryWatch;
  random: Random;
}

/** Where an instance runs. */
interface InstancePlace {
  index: number;
  failureDomain: string;
}

/** Starts a fleet and lets it run until all instances know each other. */
export async function startMembershipFleet(
  size: number,
  failureDomains: number,
  seed: number,
): Promise<MembershipFleet> {
  const clock = createVirtualClock();
  const network = createFakePeerNetwork(clock, HEARTBEAT_TIMEOUT_MS);
  const watch = createMemoryWatch(createMemoryPlatform(clock).table);
  const random = createRandom(seed);
  const parts = {clock, network, watch, random};
  const states = new Map<string, InstanceState>();
  const instances: FleetInstance[] = [];
  for (let index = 0; index < size; index++) {
    const place = {index, failureDomain: `domain-${index % failureDomains}`};
    const {instance, state} = startInstance(parts, place);
    instances.push(instance);
    states.set(instance.name, state);
  }
  await clock.advanceAsync(3 * HEARTBEAT_INTERVAL_MS);

  function findState(name: string): InstanceState {
    return states.get(name)!;
  }

  function findAddress(name: string): string {
    return instances.find(each => each.name === name)!.members.self.address;
  }

  return {
    clock,
    network,
    random,
    instances,
    lose(names) {
      for (const name of names) {
        findState(name).isLost = true;
        network.remove(findAddress(name));
      }
    },
    freeze(names) {
      for (const name of names) findState(name).isFrozen = true;
    },
    unfreeze(names) {
      for (const name of names) {
        const state = findState(name);
        state.isFrozen = false;
        for (const run of state.waiting.splice(0)) run();
      }
    },
    setStoreCut(names, isCut) {
      for (const name of names) findState(name).isStoreCut = isCut;
    },
    setPeersCut(group, others, isCut) {
      for (const name of group) {
        for (const other of others) {
          network.setCut(findAddress(name), findAddress(other), isCut);
        }
      }
    },
    async findCheckNumber() {
      const row = await watch.table.get(CHECK_KEY);
      return Number(row?.fields.number ?? 0);
    },
  };
}

function startInstance(
  parts: FleetParts,
  {index, failureDomain}: InstancePlace,
) {
  const {network, watch, random} = parts;
  const state: InstanceState = {
    isLost: false,
    isFrozen: false,
    isStoreCut: false,
    waiting: [],
  };
  const clock = createInstanceClock(parts.clock, state);
  const name = `entry-${index}`;
  const address = `10.0.${index >> 8}.${index & 255}:7000`;
  const incarnation = `run-${String(index).padStart(4, '0')}`;
  const self = {name, address, region: 'here', failureDomain, incarnation};
  const table = createInstanceTable(watch.table, parts.clock, state);
  const ownWatch = createInstanceWatch(watch, clock, state);
  const log = createSilentLog();
  const directory = createEntryDirectory({
    self,
    table,
    watch: ownWatch,
    log,
    onChange: () => void members.poll(),
  });
  const members: Members = createMembers(
    self,
    {fetch: async () => directory.list()},
    {
      clock,
      sendHeartbeat: (peer, heartbeat) =>
        network
          .createClient(
            {peerName: name, peerIncarnation: incarnation, address},
            peer.address,
          )
          .members.heartbeat.mutate(heartbeat),
    },
  );
  const checks = createPresenceChecks({
    clock,
    time: {note() {}, read: parts.clock.now},
    log,
    metrics: createMetrics(),
    table,
    watch: ownWatch,
    members,
    directory,
    random: random.draw,
  });
  network.joinDirectly(
    address,
    {
      members: {
        heartbeat: (heartbeat: Heartbeat) => members.handleHeartbeat(heartbeat),
      },
    },
    deliver => runUnlessLost(state, deliver),
  );
  runPeriodically(clock, HEARTBEAT_INTERVAL_MS, random, async () => {
    await members.sendHeartbeats();
    void checks.runIfNeeded().catch(forgetStoreError);
  });
  runPeriodically(clock, ENTRY_UPKEEP_INTERVAL_MS, random, async () => {
    await directory.register();
    await directory.removeSilent(members, clock.now());
  });
  const instance: FleetInstance = {
    name,
    failureDomain,
    members,
    directory,
    mayTakeOver: other =>
      directory.findIncarnation(other) === undefined ||
      (members.isSuspected(other) &&
        (directory.hasMajority(members) ||
          members.findAbsentSince(other) !== undefined)),
  };
  return {instance, state};
}

/** Runs `run` now, or when a frozen instance continues; never if it is lost. */
function runUnlessLost(state: InstanceState, run: () => void) {
  if (state.isLost) return;
  if (state.isFrozen) state.waiting.push(run);
  else run();
}

function createInstanceClock(clock: Clock, state: InstanceState): Clock {
  return {
    ...clock,
    schedule: (delayMs, task) =>
      clock.schedule(delayMs, () => runUnlessLost(state, task)),
  };
}

/** Calls fail while the instance is cut off, and wait while it is frozen. */
function createInstanceTable(
  table: TableStore,
  clock: Clock,
  state: InstanceState,
): TableStore {
  async function runCall<Result>(run: () => Promise<Result>): Promise<Result> {
    await new Promise<void>(resolve => {
      clock.schedule(STORE_DELAY_MS, () => runUnlessLost(state, resolve));
    });
    if (state.isStoreCut) throw new StoreError('cut off', 'none');
    return run();
  }

  return {
    get: key => runCall(() => table.get(key)),
    query: (partition, range) => runCall(() => table.query(partition, range)),
    transact: operations => runCall(() => table.transact(operations)),
  };
}

/**
 * Delivers changes in batches, with a pause after each. What changes while the
 * instance is cut off is delivered afterwards.
 */
function createInstanceWatch(
  watch: CollectionWatch,
  clock: Clock,
  state: InstanceState,
): CollectionWatch {
  function createBatches(listener: CollectionListener) {
    let queued: RowChange[] = [];
    let isPaused = false;

    function flushBatch() {
      if (!state.isStoreCut && queued.length > 0) {
        listener.change(queued);
        queued = [];
      }
      clock.schedule(FEED_PAUSE_MS, endPause);
    }

    function endPause() {
      isPaused = queued.length > 0;
      if (isPaused) flushBatch();
    }

    return (changes: readonly RowChange[]) => {
      queued.push(...changes);
      if (isPaused) return;
      isPaused = true;
      clock.schedule(STORE_DELAY_MS, flushBatch);
    };
  }

  return {
    watch: (collection, listener) =>
      watch.watch(collection, {
        reset: rows =>
          void clock.schedule(STORE_DELAY_MS, () => listener.reset(rows)),
        change: createBatches(listener),
      }),
  };
}

/** Runs a task at intervals that begin at a random time. */
function runPeriodically(
  clock: Clock,
  everyMs: number,
  random: Random,
  run: () => Promise<void>,
) {
  async function runOnce() {
    await run().catch(forgetStoreError);
    clock.schedule(everyMs, () => void runOnce());
  }
  clock.schedule(random.draw() * everyMs, () => void runOnce());
}

function forgetStoreError(error: unknown) {
  if (!(error instanceof StoreError)) throw error;
}
