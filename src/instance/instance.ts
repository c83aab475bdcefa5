/**
 * One instance: the root of the supervisor tree. It builds each feature, ties
 * them together and runs their periodic work; no feature knows of it.
 */
import {startActorSystem} from '../common/actor.js';
import {waitFor, type Clock} from '../common/clock.js';
import {generateId} from '../common/ids.js';
import type {Log} from '../common/log.js';
import {createMetrics} from '../common/metrics.js';
import type {Platform} from '../platform/platform.js';
import {createBatch} from './batch/batch.js';
import {BATCH_POLL_MS} from './batch/constants.js';
import {startCallers} from './callers/callers.js';
import {createIntents} from './callers/intents.js';
import {createConfiguration} from './configuration/configuration.js';
import {POLL_INTERVAL_MS} from './configuration/constants.js';
import {OBSERVE_INTERVAL_MS, REPORT_INTERVAL_MS} from './dispatch/constants.js';
import {createEndpointObserver} from './dispatch/endpoint_observer.js';
import {createFleetDispatch} from './dispatch/fleet_dispatch.js';
import {createAdapters} from './endpoints/adapters.js';
import {createEndpointClient} from './endpoints/http_call.js';
import {createExecution} from './execution/execution.js';
import {spawnTasks} from './instance_tasks.js';
import {createKeyDirectory} from './keys/key_directory.js';
import {createFleetLimits} from './limits/limits.js';
import {HEARTBEAT_INTERVAL_MS} from './members/constants.js';
import {
  createInstanceLease,
  LEASE_RENEWAL_MS,
  releasePredecessor,
} from './members/instance_lease.js';
import {createMembers} from './members/members.js';
import {startOperators} from './operators/operators.js';
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
}

/** A running instance. */
export interface Instance {
  callersAddress: string;
  operatorsAddress: string;
  peersAddress: string;
  /** Shuts down gracefully: no running request is cut off. */
  stop(): Promise<void>;
}

/** Starts an instance; resolves when it answers callers. */
export async function startInstance({
  settings,
  platform,
  clock,
  log,
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
  const metrics = createMetrics();
  const peerKeys = createPeerKeys(
    settings.peers.key,
    settings.peers.previous_key,
  );
  const peerClients = createPeerClients(self, peerKeys, clock);
  let storeReachable = true;
  const members = createMembers(self, platform.instances, {
    clock,
    sendHeartbeat: (peer, heartbeat) =>
      peerClients.get(peer.address).members.heartbeat.mutate(heartbeat),
    readStatus: () => ({generation: 0, storeReachable}),
  });
  const configuration = createConfiguration(platform.table);
  const keys = createKeyDirectory(platform.table);
  const limits = createFleetLimits({
    clock,
    metrics,
    table: platform.table,
    members,
    peers: peerClients,
    lease,
    findVersion: service => configuration.find(service)?.version ?? 0,
    isStoreReachable: () => storeReachable,
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

  async function pollPlatform() {
    try {
      await members.poll();
      await configuration.poll();
      await keys.poll(clock.now());
      storeReachable = true;
    } catch (error) {
      storeReachable = false;
      throw error;
    }
    dispatch.refresh();
  }

  const peerServer = await startPeerServer(
    ...splitListen(settings.listen.peers),
    buildPeerRouter({
      members,
      dispatch: {clock, pools: dispatch.pools, yieldSlot: dispatch.yieldSlot},
      limits: limits.procedures,
    }),
    peerKeys,
  );
  self.address = peerServer.address;
  await pollPlatform();
  await releasePredecessor(platform.table, self.address, self.incarnation);
  await lease.renew(clock.now());
  const tasks = spawnTasks(system, clock, [
    {name: 'platform', everyMs: POLL_INTERVAL_MS, run: pollPlatform},
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
  ]);
  let draining = false;
  const operators = await startOperators(
    ...splitListen(settings.listen.operators),
    {
      metrics,
      states: {
        dispatch,
        batch,
        instance: {
          describeState: () => ({...self, draining, at: clock.wallNow()}),
        },
        members,
        limits,
        peers: peerClients,
        execution,
        endpoints: endpointClient,
        callers: {describeState: () => callers.describeState()},
      },
      checkReadiness: () => (draining ? 'draining' : undefined),
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
    metrics,
  });
  log.info({address: callers.address}, 'instance serves callers');

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
      for (const task of tasks) task.stop();
      await lease.release().catch(() => {});
      system.stop();
      peerClients.close();
      await peerServer.close();
      await operators.close();
      await endpointClient.close();
      log.info('instance stopped');
    },
  };
}

function splitListen(address: string): [host: string, port: number] {
  const {host, port} = splitAddress(address);
  return [host, port];
}
