/**
 * One instance: the root of the supervisor tree. It starts the parts, runs
 * their periodic tasks and stops them in order.
 */
import {waitFor, type Clock} from '../common/clock.js';
import type {Log} from '../common/log.js';
import {createMetrics, type Metrics} from '../common/metrics.js';
import {createAnswerLengths} from '../decisions/answer_length.js';
import type {Platform} from '../stores/platform.js';
import {StoreError} from '../stores/table_store.js';
import {BATCH_POLL_INTERVAL_MS} from './batch/constants.js';
import {startCallerServer} from './callers/callers.js';
import {createIntents} from './callers/intents.js';
import {POLL_INTERVAL_MS} from './configuration/constants.js';
import {OBSERVE_INTERVAL_MS, REPORT_INTERVAL_MS} from './dispatch/constants.js';
import {spawnTasks} from './instance_tasks.js';
import {HEARTBEAT_INTERVAL_MS} from './members/constants.js';
import {
  LEASE_RENEWAL_INTERVAL_MS,
  releasePredecessor,
} from './members/instance_lease.js';
import {startOperators} from './operators/operators.js';
import {ORDERS_INTERVAL_MS} from './orders/constants.js';
import {buildPeerRouter} from './peers/peer_router.js';
import {startPeerServer} from './peers/peer_server.js';
import {PROMISE_RENEWAL_MS} from '../decisions/rate_constants.js';
import {QUARANTINE_MAINTENANCE_MS} from './quarantine/constants.js';
import {splitListenAddress, type Settings} from './settings.js';
import {createInstanceParts} from './instance_parts.js';

export interface InstanceDependencies {
  settings: Settings;
  platform: Platform;
  clock: Clock;
  log: Log;
  /** Created by startInstance if absent. */
  metrics?: Metrics;
}

/** A running instance. */
export interface Instance {
  callersAddress: string;
  operatorsAddress: string;
  peersAddress: string;
  /** Shuts down gracefully: running requests are completed. */
  stop(): Promise<void>;
  /** Stops at once, as in a crash: hands nothing over and notifies no peer. */
  halt(): Promise<void>;
}

/** Starts an instance. Resolves when it serves callers. */
export async function startInstance({
  settings,
  platform,
  clock,
  log,
  metrics = createMetrics(),
}: InstanceDependencies): Promise<Instance> {
  const parts = createInstanceParts({settings, platform, clock, log, metrics});
  const {self, system, lease, members, configuration, dispatch, batch} = parts;
  const {peerSync, keys, limits, execution, orders, endpointClient} = parts;
  const {observer, peerClients, peerKeys, crashWatch, quarantine} = parts;
  const platformTasks = [
    {name: 'members', poll: members.poll},
    {name: 'configuration', poll: configuration.poll},
    {name: 'peer-sync', poll: peerSync.poll},
  ];

  /**
   * Runs one poll, then refreshes the dispatcher. Each platform task polls on
   * its own: waiting for a service that does not respond must delay neither the
   * other services nor the requests to peers, which are sent because of that
   * silence.
   */
  async function pollThenRefresh(poll: () => Promise<void>) {
    try {
      await poll();
    } finally {
      dispatch.refresh();
    }
  }

  const peerServer = await startPeerServer(
    ...splitListenAddress(settings.listen.peers),
    buildPeerRouter({
      members,
      dispatch: {
        clock,
        pools: dispatch.pools,
        yieldSlot: dispatch.yieldSlot,
        noteMoved: dispatch.noteMoved,
        describePool: dispatch.describePool,
        findEndpoint: dispatch.findEndpoint,
      },
      limits: limits.procedures,
      configuration: {clock, configuration, peerSync},
    }),
    peerKeys,
  );
  self.address = peerServer.address;
  for (const {poll} of platformTasks) {
    await runDespiteOutage(pollThenRefresh(poll));
  }
  await runDespiteOutage(crashWatch.poll());
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
      everyMs: LEASE_RENEWAL_INTERVAL_MS,
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
    {name: 'batch', everyMs: BATCH_POLL_INTERVAL_MS, run: batch.poll},
    {
      name: 'quarantine',
      everyMs: QUARANTINE_MAINTENANCE_MS,
      async run() {
        await quarantine.runMaintenance();
        await crashWatch.poll();
      },
    },
    {name: 'orders', everyMs: ORDERS_INTERVAL_MS, run: orders.poll},
  ]);
  let draining = false;
  const operators = await startOperators(
    ...splitListenAddress(settings.listen.operators),
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
        quarantine,
        endpoints: endpointClient,
        callers: {describeState: () => callers.describeState()},
      },
      checkReadiness: () =>
        draining ? 'draining' : keys.describeUnready(clock.now()),
    },
  );
  const callers = await startCallerServer(
    ...splitListenAddress(settings.listen.callers),
    {
      clock,
      configuration,
      keys,
      limits,
      execution,
      batch,
      intents: createIntents(platform.table, metrics),
      answerLengths: createAnswerLengths(),
      metrics,
    },
  );
  log.info(
    {
      callers: callers.address,
      operators: operators.address,
      peers: peerServer.address,
    },
    'instance is serving callers',
  );

  async function closeAll() {
    for (const task of tasks) task.stop();
    system.stop();
    quarantine.stop();
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

/**
 * Waits for a step of the start. If the store does not answer, the instance
 * starts with what its peers know.
 */
async function runDespiteOutage(step: Promise<unknown>): Promise<void> {
  try {
    await step;
  } catch (error) {
    if (!(error instanceof StoreError)) throw error;
  }
}
