/**
 * `npm run measure:control`: measures the processor time and bytes that heartbeats,
 * leases, promises and draws cost an instance, over real connections on loopback, for
 * different numbers of instances, accounts and requests. All instances share one process,
 * so the figures are means over both ends of every call. It takes about 3 minutes.
 */
import {createSystemClock, waitFor} from '../common/clock.js';
import {createMetrics} from '../common/metrics.js';
import {PROMISE_RENEWAL_MS} from '../decisions/rate_constants.js';
import {createFleetLimits} from '../instance/limits/limits.js';
import {HEARTBEAT_INTERVAL_MS} from '../instance/members/constants.js';
import {
  createInstanceLease,
  LEASE_RENEWAL_INTERVAL_MS,
} from '../instance/members/instance_lease.js';
import {createMembers} from '../instance/members/members.js';
import {createPeerClients} from '../instance/peers/peer_client.js';
import {createPeerKeys} from '../instance/peers/peer_keys.js';
import {buildPeerRouter} from '../instance/peers/peer_router.js';
import {startPeerServer} from '../instance/peers/peer_server.js';
import {createMemoryPlatform} from '../stand_ins/platform/memory_platform.js';

const DOMAINS = ['klang-a', 'klang-b', 'penang-a', 'johor-a'];
const KEYS = createPeerKeys('measured-with-a-key-of-its-own-0123456789');
const LIMITS = {rate: 1000, burst: 1000, weight: 1};
/** Heartbeats carry the member updates of the start for 20 s; they must have ended. */
const SETTLE_MS = 24_000;
const MEASURE_MS = 6000;
const POLL_INTERVAL_MS = 1000;

interface ControlCase {
  instances: number;
  accounts: number;
  /** Requests per second on each instance. */
  requests: number;
}

const CASES: ControlCase[] = [
  {instances: 6, accounts: 0, requests: 0},
  {instances: 24, accounts: 0, requests: 0},
  {instances: 12, accounts: 12, requests: 0},
  {instances: 12, accounts: 120, requests: 0},
  {instances: 12, accounts: 12, requests: 5},
  {instances: 12, accounts: 12, requests: 25},
];

const clock = createSystemClock();

async function startInstance(
  index: number,
  platform: ReturnType<typeof createMemoryPlatform>,
  isRunning: () => boolean,
) {
  const lease = createInstanceLease(platform.table, `run-${index}-a`);
  const self = {
    name: `entry-${index}`,
    address: '',
    region: 'peninsular',
    failureDomain: DOMAINS[index % DOMAINS.length],
    get incarnation() {
      return lease.incarnation;
    },
  };
  const clients = createPeerClients(self, KEYS, clock);
  const members = createMembers(self, platform.instances, {
    clock,
    sendHeartbeat: (peer, heartbeat) =>
      clients.get(peer.address).members.heartbeat.mutate(heartbeat),
  });
  const limits = createFleetLimits({
    clock,
    metrics: createMetrics(),
    table: platform.table,
    members,
    peers: clients,
    lease,
    findVersion: () => 1,
    listBuckets: () => [],
    isStoreReachable: () => true,
  });
  const router = buildPeerRouter({
    members,
    limits: limits.procedures,
    dispatch: {} as never,
    configuration: {} as never,
  });
  const server = await startPeerServer('127.0.0.1', 0, router, KEYS);
  self.address = server.address;

  function runEvery(everyMs: number, task: () => Promise<unknown>) {
    const run = () => {
      if (!isRunning()) return;
      void task()
        .catch(() => {})
        .finally(() => clock.schedule(everyMs, run));
    };
    clock.schedule((everyMs * index) / 24, run);
  }

  function startTasks() {
    runEvery(POLL_INTERVAL_MS, members.poll);
    runEvery(HEARTBEAT_INTERVAL_MS, members.sendHeartbeats);
    runEvery(LEASE_RENEWAL_INTERVAL_MS, () => lease.renew(clock.now()));
    runEvery(PROMISE_RENEWAL_MS, limits.runRound);
  }

  await lease.renew(clock.now());
  return {self, limits, clients, server, runEvery, startTasks};
}

async function measureCase({instances, accounts, requests}: ControlCase) {
  const platform = createMemoryPlatform();
  let running = true;
  const fleet = await Promise.all(
    Array.from({length: instances}, (_, index) =>
      startInstance(index, platform, () => running),
    ),
  );
  platform.setInstances(
    fleet.map(({self: {name, address, region, failureDomain}}) => ({
      name,
      role: 'entry',
      address,
      region,
      failureDomain,
      state: 'live',
    })),
  );
  for (const instance of fleet) instance.startTasks();
  await waitFor(clock, SETTLE_MS / 2);
  const acquire = (index: number, account: number) =>
    fleet[index].limits.acquire(
      {service: 'drum-reader', account: `account-${account}`},
      LIMITS,
    );
  for (let account = 0; account < accounts; account++) {
    await acquire(account % instances, account);
  }
  let turn = 0;
  if (requests > 0) {
    for (const [index, instance] of fleet.entries()) {
      instance.runEvery(1000 / requests, () =>
        acquire(index, turn++ % accounts),
      );
    }
  }
  await waitFor(clock, SETTLE_MS / 2);
  const bytesBefore = countBytes(fleet);
  const writesBefore = platform.counts.writes;
  const cpuBefore = process.cpuUsage();
  const startedAt = clock.now();
  await waitFor(clock, MEASURE_MS);
  const seconds = (clock.now() - startedAt) / 1000;
  const cpu = process.cpuUsage(cpuBefore);
  const instanceSeconds = instances * seconds;
  const line = [
    String(instances).padStart(9),
    String(accounts).padStart(8),
    String(requests).padStart(10),
    ((100 * (cpu.user + cpu.system)) / 1e6 / instanceSeconds)
      .toFixed(2)
      .padStart(9),
    ((countBytes(fleet) - bytesBefore) / instanceSeconds)
      .toFixed(0)
      .padStart(8),
    ((platform.counts.writes - writesBefore) / instanceSeconds)
      .toFixed(3)
      .padStart(9),
  ];
  process.stdout.write(`${line.join(' ')}\n`);
  running = false;
  for (const {clients, server} of fleet) {
    clients.close();
    await server.close();
  }
}

function countBytes(fleet: {server: {countBytes(): number}}[]): number {
  return fleet.reduce((sum, {server}) => sum + server.countBytes(), 0);
}

process.stdout.write(
  'instances accounts requests/s  % of core sent B/s  writes/s (each a mean per instance)\n',
);
for (const controlCase of CASES) await measureCase(controlCase);
process.exit(0);
