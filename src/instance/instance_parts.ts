/**
 * Creates the parts of an instance and connects them. Only this module knows
 * all parts, and no part depends on it. Nothing here waits or listens.
 */
import {startActorSystem} from '../common/actor.js';
import {type Clock} from '../common/clock.js';
import {generateId} from '../common/ids.js';
import type {Log} from '../common/log.js';
import {type Metrics} from '../common/metrics.js';
import type {Platform} from '../stores/platform.js';
import {createBatch} from './batch/batch.js';
import {createConfiguration} from './configuration/configuration.js';
import {createPeerSync} from './configuration/peer_sync.js';
import {createEndpointObserver} from './dispatch/endpoint_observer.js';
import {createServiceCatalog} from './configuration/service_catalog.js';
import {createFleetDispatch} from './dispatch/fleet_dispatch.js';
import {createAdapters} from './endpoints/adapters.js';
import {createEndpointClient} from './endpoints/http_call.js';
import {createExecution} from './execution/execution.js';
import {decideConfidence} from './keys/confidence.js';
import {createKeyDirectory} from './keys/key_directory.js';
import {listDeclaredBuckets} from './limits/claims.js';
import {createFleetLimits} from './limits/limits.js';
import {createInstanceLease} from './members/instance_lease.js';
import {createMembers} from './members/members.js';
import {createOrders} from './orders/orders.js';
import {createPeerClients} from './peers/peer_client.js';
import {createPeerKeys} from './peers/peer_keys.js';
import {CRASHES} from './quarantine/crash_rows.js';
import {createQuarantine} from './quarantine/quarantine.js';
import {createPolledWatch} from '../stores/polled_watch.js';
import {type Settings} from './settings.js';

export interface InstancePartsDependencies {
  settings: Settings;
  platform: Platform;
  clock: Clock;
  log: Log;
  metrics: Metrics;
}

/** All parts of an instance. */
export type InstanceParts = ReturnType<typeof createInstanceParts>;

/** Creates the parts. instance.ts starts them. */
export function createInstanceParts({
  settings,
  platform,
  clock,
  log,
  metrics,
}: InstancePartsDependencies) {
  const {name, region, failure_domain: failureDomain} = settings.instance;
  const self = {
    name,
    address: settings.listen.peers,
    region,
    failureDomain,
    /** The incarnation of the lease, which changes after a lost lease. */
    get incarnation(): string {
      return lease.incarnation;
    },
  };
  const lease = createInstanceLease(platform.table, generateId('run'));
  const crashes = metrics.createCounter(
    'actor_crashes_total',
    'Crashes of periodic work, which then went on, by actor.',
    ['actor'],
  );
  const system = startActorSystem(name, (actor, error) => {
    crashes.inc({actor});
    log.warn({actor, err: error}, 'actor crashed; resuming with its next run');
  });
  const peerKeys = createPeerKeys(
    settings.peers.key,
    settings.peers.previous_key,
  );
  const peerClients = createPeerClients(self, peerKeys, clock);
  const members = createMembers(self, platform.instances, {
    clock,
    sendHeartbeat: (peer, heartbeat) =>
      peerClients.get(peer.address).members.heartbeat.mutate(heartbeat),
    readStatus: () => ({
      generation: configuration.getGeneration(),
      storeReachable: configuration.isStoreReachable(clock.now()),
    }),
  });
  const configuration = createConfiguration(platform.table, {clock, metrics});
  const peerSync = createPeerSync({
    clock,
    self: name,
    failureDomain,
    configuration,
    listPeers: members.listListedPeers,
    isSuspected: members.isSuspected,
    fetchFromPeer: (peer, request) =>
      peerClients.get(peer.address).configuration.fetchUpdate.query(request),
  });
  const keys = createKeyDirectory(configuration, now =>
    decideConfidence(
      {
        confirmedAt: peerSync.getConfirmedAt(),
        answers: peerSync.listAnswers(),
        failureDomains: peerSync.listFailureDomains(),
      },
      now,
    ),
  );
  const limits = createFleetLimits({
    clock,
    metrics,
    table: platform.table,
    members,
    peers: peerClients,
    lease,
    findVersion: service => configuration.find(service)?.version ?? 0,
    listBuckets: () => listDeclaredBuckets(configuration.list()),
    isStoreReachable: () => configuration.isStoreReachable(clock.now()),
  });
  const endpointClient = createEndpointClient(metrics);
  const dispatch = createFleetDispatch({
    clock,
    members,
    services: createServiceCatalog(configuration),
    peers: peerClients,
    log,
    metrics,
  });
  const adapters = createAdapters(endpointClient);
  const observer = createEndpointObserver({
    clock,
    pools: dispatch.pools,
    listEndpointsOf: dispatch.listEndpointsOf,
    configuration,
    adapters,
    metrics,
  });
  const crashWatch = createPolledWatch(platform.table);
  const quarantine = createQuarantine({
    clock,
    // Wall clocks of the instances. If they differ by more than SAME_CRASH_MS,
    // two instances that lose the same content in one crash count it twice.
    time: {read: clock.wallNow},
    log,
    metrics,
    table: platform.table,
    watch: crashWatch,
    shards: 1,
    isPruner: () => members.rankInstances(CRASHES)[0]?.name === name,
  });
  const execution = createExecution(
    clock,
    dispatch,
    adapters,
    quarantine,
    metrics,
  );
  const engineControl = adapters['model-engine'].control!;
  const orders = createOrders({
    clock,
    table: platform.table,
    lease,
    members,
    configuration,
    sendOrder: engineControl.sendOrder,
    metrics,
  });
  const batch = createBatch({
    clock,
    platform,
    configuration,
    execution,
    limits,
    metrics,
    lease,
    ownership: dispatch,
  });

  return {
    self,
    system,
    lease,
    peerKeys,
    peerClients,
    members,
    configuration,
    peerSync,
    keys,
    limits,
    endpointClient,
    dispatch,
    observer,
    crashWatch,
    quarantine,
    execution,
    orders,
    batch,
  };
}
