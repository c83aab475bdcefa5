/**
 * A fleet of instances that runs the real limits, members and leases on virtual
 * time, over a network and a store with faults.
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

/** A call without an answer; the real ones differ by kind. */
const CALL_TIMEOUT_MS = 300;

/** One instance under way. */
export interface FleetInstance {
  name: string;
  clock: PausableClock;
  limits: FleetLimits;
  /** Ends gracefully. */
  stop(): Promise<void>;
}

/** How a fleet is made. */
export interface FleetOptions {
  size: number;
  domains: readonly string[];
  /** Limits in force by `service/account`, with their document's version. */
  findVersion(): number;
  /** Buckets that the documents in force declare. */
  listBuckets?(): DeclaredBucket[];
  /** Speed of an instance's clock. */
  chooseSpeed?(index: number): number;
}

/** The fleet. */
export interface LimitsFleet {
  clock: VirtualClock;
  /** Moves time forward; everything that is due runs. */
  advance(byMs: number): Promise<void>;
  network: FakePeerNetwork;
  platform: MemoryPlatform;
  instances: Map<string, FleetInstance>;
  names: readonly string[];
  start(name: string): Promise<void>;
  /** Dies without a word. */
  kill(name: string): void;
  /** Cuts or mends the way between an instance and every other, or the store. */
  setIsolated(name: string, isolated: boolean): void;
  /** Cuts or mends the way between an instance and the store alone. */
  setStoreCut(name: string, cut: boolean): void;
}

/** Starts every instance and lets them find each other. */
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
  let runs = 0;

  /** One turn of the event loop for each time at which something is due. */
  async function playTime(byMs: number) {
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

  /** The store as one instance reaches it. */
  function buildTable(name: string): MemoryPlatform['table'] {
    const guard = async () => {
      if (storeCuts.has(name)) throw new Error('the store is out of reach');
    };
    return {
      ...platform.table,
      get: async key => guard().then(() => platform.table.get(key)),
      query: async (...args) =>
        guard().then(() => platform.table.query(...args)),
      transact: async operations =>
        guard().then(() => platform.table.transact(operations)),
    };
  }

  async function startInstance(
    {name, address, region, failureDomain}: ListedInstance,
    index: number,
  ): Promise<FleetInstance> {
    const speed = options.chooseSpeed?.(index) ?? 1;
    const own = createPausableClock(clock, speed, 1000 * index);
    const table = buildTable(name);
    const firstIncarnation = `run-${String(++runs).padStart(6, '0')}`;
    const lease = createInstanceLease(
      table,
      firstIncarnation,
      () => `run-${String(++runs).padStart(6, '0')}`,
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
      clock: own,
      sendHeartbeat: (peer, heartbeat) =>
        getClient(peer.address).members.heartbeat.mutate(heartbeat),
      readStatus: () => ({generation: 0, storeReachable}),
    });
    const limits = createFleetLimits({
      clock: own,
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
        if (storeCuts.has(name)) throw new Error('the store is out of reach');
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
          .finally(() => own.schedule(everyMs, run));
      own.schedule(everyMs * ((index + 1) / (options.size + 1)), run);
    }

    await poll();
    await releasePredecessor(table, address, lease.incarnation).catch(() => {});
    await lease.renew(own.now()).catch(() => {});
    const procedures = {
      members: {heartbeat: members.handleHeartbeat},
      limits: limits.procedures,
    } as unknown as ProcedureTable;
    network.joinDirectly(address, procedures, own.receive);
    runEvery(POLL_INTERVAL_MS, poll);
    runEvery(HEARTBEAT_INTERVAL_MS, () => members.sendHeartbeats());
    runEvery(LEASE_RENEWAL_INTERVAL_MS, () => lease.renew(own.now()));
    runEvery(PROMISE_RENEWAL_MS, () => limits.runRound());
    return {
      name,
      clock: own,
      limits,
      async stop() {
        void members.leave();
        await limits.shut().catch(() => {});
        await lease.release().catch(() => {});
        own.end();
        network.remove(address);
        if (instances.get(name)?.clock === own) instances.delete(name);
      },
    };
  }

  for (const {name} of listed) await start(name);
  await playTime(3000);
  return {
    clock,
    advance: playTime,
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
