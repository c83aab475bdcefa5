/**
 * A fleet of instances that run the real limits, membership and leases on
 * virtual time, over a network and a store that can fail.
 */
import {createMetrics} from '../common/metrics.js';
import {
  createVirtualClock,
  type VirtualClock,
} from '../common/virtual_clock.js';
import {PROMISE_RENEWAL_MS} from '../decisions/rate_constants.js';
import {
  createFleetLimits,
  type DeclaredBucket,
  type FleetLimits,
} from '../instance/limits/limits.js';
import {HEARTBEAT_INTERVAL_MS} from '../instance/members/constants.js';
import {
  createInstanceLease,
  LEASE_RENEWAL_INTERVAL_MS,
  releasePredecessor,
} from '../instance/members/instance_lease.js';
import {createMembers} from '../instance/members/members.js';
import type {ListedInstance} from '../stores/instance_list.js';
import {
  createMemoryPlatform,
  type MemoryPlatform,
} from '../stand_ins/platform/memory_platform.js';
import {
  createFakePeerNetwork,
  type FakePeerNetwork,
  type ProcedureTable,
} from './fake_peer_network.js';
import {createPausableClock, type PausableClock} from './pausable_clock.js';

const POLL_INTERVAL_MS = 1000;

/** Timeout of every peer call; in the product it depends on the procedure. */
const CALL_TIMEOUT_MS = 300;

/** One running instance. */
export interface FleetInstance {
  name: string;
  clock: PausableClock;
  limits: FleetLimits;
  /** Shuts down gracefully. */
  stop(): Promise<void>;
}

/** Options of a fleet. */
export interface FleetOptions {
  size: number;
  domains: readonly string[];
  /** Returns the version of the active document. */
  findVersion(): number;
  /** Lists the buckets that the active documents declare. */
  listBuckets?(): DeclaredBucket[];
  /** Returns the clock speed of an instance; 1 is exact. */
  chooseSpeed?(index: number): number;
}

/** A running fleet with the controls for a test. */
export interface LimitsFleet {
  clock: VirtualClock;
  /** Advances the time and runs all tasks that become due. */
  advance(byMs: number): Promise<void>;
  network: FakePeerNetwork;
  platform: MemoryPlatform;
  instances: Map<string, FleetInstance>;
  names: readonly string[];
  start(name: string): Promise<void>;
  /** Stops an instance abruptly, without notifying any other. */
  kill(name: string): void;
  /** Disconnects or reconnects an instance and all others and the store. */
  setIsolated(name: string, isolated: boolean): void;
  /** Disconnects or reconnects an instance and the store only. */
  setStoreCut(name: string, cut: boolean): void;
}

/** Starts every instance and waits until they know each other. */
export async function startLimitsFleet(
  options: FleetOptions,
): Promise<LimitsFleet> {
  const clock = createVirtualClock();
  const network = createFakePeerNetwork(clock, CALL_TIMEOUT_MS);
  const platform = createMemoryPlatform(clock);
  const instances = new Map<string, FleetInstance>();
  const storeCuts = new Set<string>();
  const listed = Array.from(
    {length: options.size},
    (_, index): ListedInstance => ({
      name: `entry-${index}`,
      role: 'entry',
      address: `10.0.0.${index}:7000`,
      region: 'region',
      failureDomain: options.domains[index % options.domains.length],
      state: 'live',
    }),
  );
  platform.setInstances(listed);
  let incarnationCount = 0;

  /** Runs the event loop once for each time at which a task is due. */
  async function runFor(byMs: number) {
    const until = clock.now() + byMs;
    for (;;) {
      await new Promise(resolve => setImmediate(resolve));
      const next = clock.peekNext();
      if (next === undefined || next > until) break;
      clock.advance(next - clock.now());
    }
    clock.advance(until - clock.now());
  }

  async function start(name: string) {
    const index = listed.findIndex(one => one.name === name);
    const instance = await startInstance(listed[index], index);
    instances.set(name, instance);
  }

  /** Builds the table store of one instance, which can be disconnected. */
  function buildTable(name: string): MemoryPlatform['table'] {
    const checkStore = async () => {
      if (storeCuts.has(name))
        throw new Error('instance is disconnected from the store');
    };
    return {
      ...platform.table,
      get: async key => checkStore().then(() => platform.table.get(key)),
      query: async (...args) =>
        checkStore().then(() => platform.table.query(...args)),
      transact: async operations =>
        checkStore().then(() => platform.table.transact(operations)),
    };
  }

  async function startInstance(
    {name, address, region, failureDomain}: ListedInstance,
    index: number,
  ): Promise<FleetInstance> {
    const speed = options.chooseSpeed?.(index) ?? 1;
    const ownClock = createPausableClock(clock, speed, 1000 * index);
    const table = buildTable(name);
    const firstIncarnation = `run-${String(++incarnationCount).padStart(6, '0')}`;
    const lease = createInstanceLease(
      table,
      firstIncarnation,
      () => `run-${String(++incarnationCount).padStart(6, '0')}`,
    );
    const self = {
      name,
      address,
      region,
      failureDomain,
      get incarnation() {
        return lease.incarnation;
      },
    };
    const sender = {peerName: name, peerIncarnation: firstIncarnation, address};
    let storeReachable = true;
    const getClient = (to: string) => network.createClient(sender, to);
    const members = createMembers(self, platform.instances, {
      clock: ownClock,
      sendHeartbeat: (peer, heartbeat) =>
        getClient(peer.address).members.heartbeat.mutate(heartbeat),
      readStatus: () => ({generation: 0, storeReachable}),
    });
    const limits = createFleetLimits({
      clock: ownClock,
      metrics: createMetrics(),
      table,
      members,
      peers: {get: getClient},
      lease,
      findVersion: options.findVersion,
      listBuckets: options.listBuckets ?? (() => []),
      isStoreReachable: () => storeReachable,
    });

    async function poll() {
      try {
        if (storeCuts.has(name))
          throw new Error('instance is disconnected from the store');
        await members.poll();
        storeReachable = true;
      } catch {
        storeReachable = false;
      }
    }

    function runEvery(everyMs: number, task: () => Promise<unknown>) {
      const run = () =>
        void task()
          .catch(() => {})
          .finally(() => ownClock.schedule(everyMs, run));
      ownClock.schedule(everyMs * ((index + 1) / (options.size + 1)), run);
    }

    await poll();
    await releasePredecessor(table, address, lease.incarnation).catch(() => {});
    await lease.renew(ownClock.now()).catch(() => {});
    const procedures = {
      members: {heartbeat: members.handleHeartbeat},
      limits: limits.procedures,
    } as unknown as ProcedureTable;
    network.joinDirectly(address, procedures, ownClock.receive);
    runEvery(POLL_INTERVAL_MS, poll);
    runEvery(HEARTBEAT_INTERVAL_MS, () => members.sendHeartbeats());
    runEvery(LEASE_RENEWAL_INTERVAL_MS, () => lease.renew(ownClock.now()));
    runEvery(PROMISE_RENEWAL_MS, () => limits.runRound());
    return {
      name,
      clock: ownClock,
      limits,
      async stop() {
        void members.leave();
        await limits.shut().catch(() => {});
        await lease.release().catch(() => {});
        ownClock.end();
        network.remove(address);
        if (instances.get(name)?.clock === ownClock) instances.delete(name);
      },
    };
  }

  for (const {name} of listed) await start(name);
  await runFor(3000);
  return {
    clock,
    advance: runFor,
    network,
    platform,
    instances,
    names: listed.map(({name}) => name),
    start,
    kill(name) {
      const instance = instances.get(name);
      if (!instance) return;
      instance.clock.end();
      instances.delete(name);
      network.remove(listed.find(one => one.name === name)!.address);
    },
    setIsolated(name, isolated) {
      const {address} = listed.find(one => one.name === name)!;
      for (const other of listed) {
        network.setCut(address, other.address, isolated);
      }
      setStoreCut(name, isolated);
    },
    setStoreCut,
  };

  function setStoreCut(name: string, cut: boolean) {
    if (cut) storeCuts.add(name);
    else storeCuts.delete(name);
  }
}
