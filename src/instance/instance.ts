/**
 * One instance: the root of the supervisor tree. It builds each feature, ties
 * them together and runs their periodic work; no feature knows of it.
 */
import {
  spawnPeriodicTask,
  startActorSystem,
  type PeriodicTask,
} from '../common/actor.js';
import {waitFor, type Clock} from '../common/clock.js';
import {generateId} from '../common/ids.js';
import type {Log} from '../common/log.js';
import {createMetrics} from '../common/metrics.js';
import type {Platform} from '../platform/platform.js';
import {createBatch} from './batch/batch.js';
import {BATCH_POLL_MS} from './batch/constants.js';
import {startCallers} from './callers/callers.js';
import {createConfiguration} from './configuration/configuration.js';
import {POLL_INTERVAL_MS} from './configuration/constants.js';
import {createLocalDispatch} from './dispatch/dispatch.js';
import {createAdapters} from './endpoints/adapters.js';
import {createEndpointClient} from './endpoints/http_call.js';
import {createExecution} from './execution/execution.js';
import {createKeyDirectory} from './keys/key_directory.js';
import {createLocalLimits} from './limits/limits.js';
import {HEARTBEAT_INTERVAL_MS} from './members/constants.js';
import {
  createInstanceLease,
  LEASE_RENEWAL_MS,
  releasePredecessor,
} from './members/instance_lease.js';
import {createMembers} from './members/members.js';
import {startOperators} from './operators/operators.js';
import {createPeerClients} from './peers/peer_client.js';
import {buildPeerRouter} from './peers/peer_router.js';
import {startPeerServer} from './peers/peer_server.js';
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
    incarnation: generateId('run'),
  };
  const system = startActorSystem(name, (actor, error) =>
    log.warn({actor, err: error}, 'actor crashed and goes on'),
  );
  const metrics = createMetrics();
  const peerClients = createPeerClients(self);
  let storeReachable = true;
  const lease = createInstanceLease(platform.table, self.incarnation);
  const members = createMembers(self, platform.instances, {
    clock,
    sendHeartbeat: (peer, heartbeat) =>
      peerClients.get(peer.address).members.heartbeat.mutate(heartbeat),
    readStatus: () => ({generation: 0, storeReachable}),
  });
  const configuration = createConfiguration(platform.table);
  const keys = createKeyDirectory(platform.table);
  const limits = createLocalLimits(clock);
  const endpointClient = createEndpointClient();
  const execution = createExecution(
    clock,
    createLocalDispatch(members),
    createAdapters(endpointClient),
  );
  const batch = createBatch({
    clock,
    platform,
    configuration,
    execution,
    limits,
    metrics,
    lease,
  });

  async function pollPlatform() {
    storeReachable = false;
    await members.poll();
    await configuration.poll();
    await keys.poll(clock.now());
    storeReachable = true;
  }

  await pollPlatform();
  const tasks: PeriodicTask[] = [
    spawnPeriodicTask(
      system,
      clock,
      'platform',
      POLL_INTERVAL_MS,
      pollPlatform,
    ),
    spawnPeriodicTask(system, clock, 'batch', BATCH_POLL_MS, () =>
      batch.poll(),
    ),
  ];
  const peerServer = await startPeerServer(
    ...splitListen(settings.listen.peers),
    buildPeerRouter({members}),
  );
  self.address = peerServer.address;
  await releasePredecessor(platform.table, self.address, self.incarnation);
  await lease.renew(clock.now());
  tasks.push(
    spawnPeriodicTask(system, clock, 'lease', LEASE_RENEWAL_MS, () =>
      lease.renew(clock.now()),
    ),
    spawnPeriodicTask(system, clock, 'heartbeats', HEARTBEAT_INTERVAL_MS, () =>
      members.sendHeartbeats(),
    ),
  );
  let draining = false;
  const operators = await startOperators(
    ...splitListen(settings.listen.operators),
    {
      metrics,
      states: {
        batch,
        instance: {
          describeState: () => ({...self, draining, at: clock.wallNow()}),
        },
        members,
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
  });
  log.info({address: callers.address}, 'instance serves callers');

  return {
    callersAddress: callers.address,
    operatorsAddress: operators.address,
    peersAddress: peerServer.address,
    async stop() {
      draining = true;
      await members.leave();
      await waitFor(clock, settings.shutdown.notice);
      await Promise.all([callers.drain(), batch.drain()]);
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
