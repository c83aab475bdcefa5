/**
 * One instance: the root of the supervisor tree. It builds each feature, ties
 * them together and runs their periodic work; no feature knows of it.
 */
import {startActorSystem} from '../common/actor.js';
import {waitFor, type Clock} from '../common/clock.js';
import {generateId} from '../common/ids.js';
import type {Log} from '../common/log.js';
import {createMetrics, type Metrics} from '../common/metrics.js';
import {createAnswerLengths} from '../decisions/answer_length.js';
import type {Platform} from '../platform/platform.js';
import {StoreError} from '../platform/table_store.js';
import {createBatch} from './batch/batch.js';
import {BATCH_POLL_MS} from './batch/constants.js';
import {startCallers} from './callers/callers.js';
import {createIntents} from './callers/intents.js';
import {createConfiguration} from './configuration/configuration.js';
import {POLL_INTERVAL_MS} from './configuration/constants.js';
import {createPeerSync} from './configuration/peer_sync.js';
import {OBSERVE_INTERVAL_MS, REPORT_INTERVAL_MS} from './dispatch/constants.js';
import {createEndpointObserver} from './dispatch/endpoint_observer.js';
import {createFleetDispatch} from './dispatch/fleet_dispatch.js';
import {createAdapters} from './endpoints/adapters.js';
import {createEndpointClient} from './endpoints/http_call.js';
import {createExecution} from './execution/execution.js';
import {spawnTasks} from './instance_tasks.js';
import {decideConfidence} from './keys/confidence.js';
import {createKeyDirectory} from './keys/key_directory.js';
import {listDeclaredBuckets} from './limits/claims.js';
import {createFleetLimits} from './limits/limits.js';
import {HEARTBEAT_INTERVAL_MS} from './members/constants.js';
import {
  createInstanceLease,
  LEASE_RENEWAL_MS,
  releasePredecessor,
} from './members/instance_lease.js';
import {createMembers} from './members/members.js';
import {startOperators} from './operators/operators.js';
import {ORDERS_INTERVAL_MS} from './orders/constants.js';
import {createOrders} from './orders/orders.js';
import {createPeerClients} from './peers/peer_client.js';
import {createPeerKeys} from './peers/peer_keys.js';
import {buildPeerRouter} from './peers/peer_router.js';
import {startPeerServer} from './peers/peer_server.js';
import {PROMISE_RENEWAL_MS} from '../decisions/rate_constants.js';
import {splitAddress, type Settings} from './settings.js';

/** What an instance is started with. */
export interface InstanceDependencies {
  settings: Settings;
  platform: Platform;
  clock: Clock;
  log: Log;
  /** Made here when left out. */
  metrics?: Metrics;
}

/** A running instance. */
export interface Instance {
  callersAddress: string;
  operatorsAddress: string;
  peersAddress: string;
  /** Shuts down gracefully: no running request is cut off. */
  stop(): Promise<void>;
  /** Ends at once, as a crash does: hands nothing over, tells nobody. */
  halt(): Promise<void>;
}

/** Starts an instance; resolves when it answers callers. */
export async function startInstance({
  settings,
  platform,
  clock,
  log,
  metrics = createMetrics(),
}: InstanceDependencies): Promise<Instance> {
  const {name, region, failure_domain: failureDomain} = settings.instance;
  const self = {
    name,
    address: settings.listen.peers,
    region,
    failureDomain,
    /** That of the lease: a lost lease makes a new run of it. */
    get incarnation(): string {
      return lease.incarnation;
    },
  };
  const lease = createInstanceLease(platform.table, generateId('run'));
  const system = startActorSystem(name, (actor, error) =>
    log.warn({actor, err: error}, 'actor crashed and goes on'),
  );
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
      generation: configuration.describeGeneration(),
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
    configuration,
    peers: peerClients,
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
  const execution = createExecution(clock, dispatch, adapters, metrics);
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

  const platformTasks = [
    {name: 'members', poll: members.poll},
    {name: 'configuration', poll: configuration.poll},
    {name: 'peer-sync', poll: peerSync.poll},
  ];

  /**
   * Each looks by itself: waiting for a service that is silent must delay
   * neither the other one nor the peers, who are asked just because of it.
   */
  async function pollThenRefresh(poll: () => Promise<void>) {
    try {
      await poll();
    } finally {
      dispatch.refresh();
    }
  }

  const peerServer = await startPeerServer(
    ...splitListen(settings.listen.peers),
    buildPeerRouter({
      members,
      dispatch: {clock, pools: dispatch.pools, yieldSlot: dispatch.yieldSlot},
      limits: limits.procedures,
      configuration: {clock, configuration, peerSync},
    }),
    peerKeys,
  );
  self.address = peerServer.address;
  for (const {poll} of platformTasks) {
    await runDespiteOutage(pollThenRefresh(poll));
  }
  await runDespiteOutage(
    releasePredecessor(platform.table, self.address, self.incarnation),
  );
  await runDespiteOutage(lease.renew(clock.now()));
  const tasks = spawnTasks(system, clock, [
    ...platformTasks.map(({name, poll}) => ({
      name,
      everyMs: POLL_INTERVAL_MS,
      run: () => pollThenRefresh(poll),
    })),
    {
      name: 'lease',
      everyMs: LEASE_RENEWAL_MS,
      run: () => lease.renew(clock.now()),
    },
    {
      name: 'heartbeats',
      everyMs: HEARTBEAT_INTERVAL_MS,
      run: members.sendHeartbeats,
    },
    {name: 'limits', everyMs: PROMISE_RENEWAL_MS, run: limits.runRound},
    {name: 'slot-reports', everyMs: REPORT_INTERVAL_MS, run: dispatch.report},
    {name: 'observer', everyMs: OBSERVE_INTERVAL_MS, run: observer.poll},
    {name: 'batch', everyMs: BATCH_POLL_MS, run: batch.poll},
    {name: 'orders', everyMs: ORDERS_INTERVAL_MS, run: orders.poll},
  ]);
  let draining = false;
  const operators = await startOperators(
    ...splitListen(settings.listen.operators),
    {
      metrics,
      states: {
        dispatch,
        batch,
        orders,
        instance: {
          describeState: () => ({...self, draining, at: clock.wallNow()}),
        },
        members,
        limits,
        configuration,
        peerSync,
        peers: peerClients,
        execution,
        endpoints: endpointClient,
        callers: {describeState: () => callers.describeState()},
      },
      checkReadiness: () =>
        draining ? 'draining' : keys.describeUnready(clock.now()),
    },
  );
  const callers = await startCallers(...splitListen(settings.listen.callers), {
    clock,
    configuration,
    keys,
    limits,
    execution,
    batch,
    intents: createIntents(platform.table, metrics),
    answerLengths: createAnswerLengths(),
    metrics,
  });
  log.info(
    {
      callers: callers.address,
      operators: operators.address,
      peers: peerServer.address,
    },
    'instance serves callers',
  );

  async function closeAll() {
    for (const task of tasks) task.stop();
    system.stop();
    peerClients.close();
    await peerServer.close();
    await operators.close();
    await endpointClient.close();
  }

  return {
    callersAddress: callers.address,
    operatorsAddress: operators.address,
    peersAddress: peerServer.address,
    async stop() {
      draining = true;
      callers.startDraining();
      await members.leave();
      await limits.shut().catch(() => {});
      await waitFor(clock, settings.shutdown.notice);
      dispatch.stop();
      await Promise.all([
        callers.drain(settings.shutdown.drain),
        batch.drain(),
      ]);
      await orders.release();
      await lease.release().catch(() => {});
      await closeAll();
      log.info('instance stopped');
    },
    async halt() {
      await Promise.all([callers.drain(0), closeAll()]);
    },
  };
}

/** A start during an outage goes on with what peers know. */
async function runDespiteOutage(step: Promise<unknown>): Promise<void> {
  try {
    await step;
  } catch (error) {
    if (!(error instanceof StoreError)) throw error;
  }
}

function splitListen(address: string): [host: string, port: number] {
  const {host, port} = splitAddress(address);
  return [host, port];
}
