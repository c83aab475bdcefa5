/**
 * One gateway instance: the root of the supervisor tree. It starts the parts,
 * runs their periodic tasks and stops them in order.
 */
import {waitFor, type Clock} from '../common/clock.js';
import type {Log} from '../common/log.js';
import type {Metrics} from '../common/metrics.js';
import {StoreError} from '../stores/table_store.js';
import {ADOPT_INTERVAL_MS, RETENTION_INTERVAL_MS} from './bundles/constants.js';
import {REPORT_INTERVAL_MS} from './dispatch/constants.js';
import {startGateway} from './gateway/gateway.js';
import {createGatewayParts, type GatewayPlatform} from './gateway_parts.js';
import type {GatewaySettings} from './gateway_settings.js';
import {spawnTasks} from './instance_tasks.js';
import {
  ENTRY_UPKEEP_INTERVAL_MS,
  HEARTBEAT_INTERVAL_MS,
} from './members/constants.js';
import {startOperators} from './operators/operators.js';
import type {EvacuationListener} from './members/evacuations.js';
import type {RegistrationListener} from './members/endpoint_directory.js';
import type {PeerKeys} from './peers/peer_keys.js';
import {buildGatewayPeerRouter} from './peers/peer_router.js';
import {startPeerServer} from './peers/peer_server.js';
import type {RoutingDocument} from './routing/routing_document.js';
import {fetchNewerRouting} from './routing/routing_sync.js';
import {QUARANTINE_MAINTENANCE_MS} from './quarantine/constants.js';
import {CLEANUP_INTERVAL_MS} from './streams/constants.js';
import {splitListenAddress} from './settings.js';

export interface GatewayInstanceDependencies {
  settings: GatewaySettings;
  platform: GatewayPlatform;
  peerKeys: PeerKeys;
  clock: Clock;
  log: Log;
  metrics: Metrics;
}

/** A running gateway instance. */
export interface GatewayInstance {
  callersAddress: string;
  operatorsAddress: string;
  /** Applies a routing document, unless a newer one is already active. */
  applyRouting(document: RoutingDocument): void;
  /** Receives the evacuated failure domains. */
  evacuations: EvacuationListener;
  /** Receives the endpoints' registrations. */
  registrations: RegistrationListener;
  /** Shuts down gracefully: running requests are completed. */
  stop(): Promise<void>;
  /** Stops at once, as in a crash. */
  halt(): Promise<void>;
}

/** Interval at which peers are asked for a newer routing document, in ms. */
const ROUTING_SYNC_INTERVAL_MS = 500;

/** Time between the end of draining and the end of the grace period, in ms. */
const EXIT_MARGIN_MS = 800;

/**
 * Starts an instance. Resolves when it listens; readiness follows a little
 * later.
 */
export async function startGatewayInstance({
  settings,
  platform,
  peerKeys,
  clock,
  log,
  metrics,
}: GatewayInstanceDependencies): Promise<GatewayInstance> {
  const parts = createGatewayParts({
    settings,
    platform,
    peerKeys,
    clock,
    log,
    metrics,
  });
  const {self, system, routing, members, directory, endpoints} = parts;
  const {evacuations, presenceChecks} = parts;
  const {dispatch, worker, peerClients, ownerLimits, connections} = parts;
  const {quarantine, origins} = parts;
  let draining = false;

  const peerServer = await startPeerServer(
    ...splitListenAddress(settings.listen.peers),
    buildGatewayPeerRouter({
      members,
      dispatch: {
        clock,
        pools: dispatch.pools,
        yieldSlot: dispatch.yieldSlot,
        noteMoved: dispatch.noteMoved,
        describePool: dispatch.describePool,
        findEndpoint: dispatch.findEndpoint,
      },
      ownerLimits,
      routing,
      bundles: worker,
      streams: origins,
      store: platform,
    }),
    peerKeys,
  );
  self.address = peerServer.address;
  const gateway = await startGateway(
    ...splitListenAddress(settings.listen.callers),
    {
      clock,
      log,
      metrics,
      routing,
      protocol: platform.callers,
      relay: parts.relay,
      bundles: parts.bundles,
      heldAnswers: parts.heldAnswers,
      hasLivePeer: () =>
        members.listLive().some(({name}) => name !== self.name),
    },
  );

  function describeUnready(): string | undefined {
    if (draining) return 'draining';
    if (!routing.getDocument()) return 'no configuration is known yet';
    if (!endpoints.isKnown()) return 'no endpoints are known yet';
    if (!quarantine.isKnown()) return 'no crash records are known yet';
    return undefined;
  }

  const operators = await startOperators(
    ...splitListenAddress(settings.listen.operators),
    {
      metrics,
      states: {
        dispatch,
        limits: ownerLimits,
        members,
        routing,
        bundles: parts.bundles,
        peers: peerClients,
        endpoints: connections,
        callers: gateway,
        quarantine,
        streams: origins,
        evacuations,
        instance: {
          describeState: () => ({...self, draining, at: clock.wallNow()}),
        },
      },
      checkReadiness: describeUnready,
    },
  );

  async function syncRouting() {
    const isNewer = await fetchNewerRouting(routing, members, (peer, after) =>
      peerClients.get(peer.address).routing.fetch.query({after}),
    );
    if (!isNewer) return;
    const version = routing.getVersion();
    log.info({version, source: 'peer'}, 'configuration applied');
  }

  /**
   * A peer's report may show that endpoints with missing registrations have
   * left, or that a failure domain was evacuated.
   */
  async function sendHeartbeats() {
    await members.sendHeartbeats();
    evacuations.refresh();
    endpoints.expire(clock.now());
    void checkPresence();
  }

  /** Not awaited: heartbeats go on during a check. */
  async function checkPresence() {
    try {
      await presenceChecks.runIfNeeded();
    } catch (error) {
      const level = error instanceof StoreError ? 'warn' : 'error';
      log[level]({err: error}, 'presence check failed');
    }
  }

  async function refreshEntries() {
    await directory.register();
    await directory.removeSilent(members, clock.now());
  }

  const tasks = spawnTasks(system, clock, [
    {name: 'entries', everyMs: ENTRY_UPKEEP_INTERVAL_MS, run: refreshEntries},
    {
      name: 'heartbeats',
      everyMs: HEARTBEAT_INTERVAL_MS,
      run: sendHeartbeats,
    },
    {name: 'refresh', everyMs: 1000, run: parts.refreshMembers},
    {name: 'slot-reports', everyMs: REPORT_INTERVAL_MS, run: dispatch.report},
    {name: 'routing-sync', everyMs: ROUTING_SYNC_INTERVAL_MS, run: syncRouting},
    {
      name: 'quarantine',
      everyMs: QUARANTINE_MAINTENANCE_MS,
      run: quarantine.runMaintenance,
    },
    {
      name: 'streams',
      everyMs: CLEANUP_INTERVAL_MS,
      run: origins.runMaintenance,
    },
    {name: 'bundles', everyMs: ADOPT_INTERVAL_MS, run: worker.poll},
    {
      name: 'retention',
      everyMs: RETENTION_INTERVAL_MS,
      run: worker.deleteExpired,
    },
  ]);
  log.info(
    {...self, callers: gateway.address, operators: operators.address},
    'instance started',
  );

  async function closeAll() {
    for (const task of tasks) task.stop();
    directory.stop();
    presenceChecks.stop();
    quarantine.stop();
    origins.stop();
    system.stop();
    peerClients.close();
    await peerServer.close();
    await operators.close();
    connections.close();
  }

  /** Never throws: whatever fails here, running requests must be completed. */
  async function leaveFleet() {
    await runStep('tell the peers', () => members.leave());
    await runStep('hand over pools', () => dispatch.stop());
    await runStep('hand over bundles', () => worker.handOver());
    await runStep('remove the entry', () => directory.leave());
  }

  async function runStep(step: string, run: () => unknown) {
    try {
      await run();
    } catch (error) {
      // Other instances find this one silent: they take over its pools and bundles
      // and delete its entry.
      if (error instanceof StoreError) return;
      log.error({step, err: error}, 'a step of leaving the fleet failed');
    }
  }

  return {
    callersAddress: gateway.address,
    operatorsAddress: operators.address,
    applyRouting(document) {
      if (!routing.apply(document)) return;
      const {version, routes, accounts} = document;
      log.info(
        {version, routes: routes.length, accounts: accounts.length},
        'configuration applied',
      );
      dispatch.refresh();
    },
    evacuations,
    registrations: endpoints,
    async stop() {
      const startedAt = clock.now();
      const {notice, grace} = settings.shutdown;
      const endsAt = startedAt + grace - EXIT_MARGIN_MS;
      const computeLeftMs = () => Math.max(0, endsAt - clock.now());
      draining = true;
      log.info({open: gateway.describeState()}, 'instance is draining');
      gateway.startDraining({noticeEndsAt: startedAt + notice, endsAt});
      // Leaving takes seconds while the store does not respond. Until callers are kept
      // off, they send requests that have less and less time before the end.
      const left = leaveFleet();
      await waitFor(clock, Math.min(notice, computeLeftMs()));
      await gateway.drain(computeLeftMs());
      await Promise.race([left, waitFor(clock, computeLeftMs())]);
      await closeAll();
      log.info(
        {tookMs: Math.round(clock.now() - startedAt)},
        'instance stopped',
      );
    },
    async halt() {
      await Promise.all([gateway.drain(0), closeAll()]);
    },
  };
}
