/**
 * Creates the parts of a gateway instance and connects them. Nothing here
 * waits.
 */
import {startActorSystem} from '../common/actor.js';
import type {Clock} from '../common/clock.js';
import {createHttpConnections} from '../common/http_connections.js';
import type {Log} from '../common/log.js';
import type {Metrics} from '../common/metrics.js';
import type {SharedTime} from '../common/shared_time.js';
import {hasLostStoreAccess} from '../decisions/store_access.js';
import type {CollectionWatch} from '../stores/collections.js';
import type {ListedInstance} from '../stores/instance_list.js';
import type {SmallObjectStore} from '../stores/object_store.js';
import {StoreError, type TableStore} from '../stores/table_store.js';
import {createBundleStore} from './bundles/bundle_store.js';
import {createBundleWorker} from './bundles/bundle_worker.js';
import {createBundles} from './bundles/bundles.js';
import {createItemRunner} from './bundles/item_runner.js';
import {createFleetDispatch} from './dispatch/fleet_dispatch.js';
import {getServiceName} from './dispatch/pools.js';
import {
  CONNECT_TIMEOUT_MS,
  MAX_CONNECTION_AGE_MS,
} from './gateway/constants.js';
import type {CallerProtocol, EndpointProtocol} from './gateway/protocols.js';
import type {ReceivedResponse} from './gateway/endpoint_exchange.js';
import {createHeldAnswers} from './gateway/held_answers.js';
import {createRelay} from './gateway/relay.js';
import {computeAnswerBudget, type GatewaySettings} from './gateway_settings.js';
import {createOwnerLimits} from './limits/owner_limits.js';
import {createEntryDirectory} from './members/entry_directory.js';
import {createEvacuations} from './members/evacuations.js';
import {createEndpointDirectory} from './members/endpoint_directory.js';
import {createMembers, type Members} from './members/members.js';
import {createPresenceChecks} from './members/presence_checks.js';
import {createRunIdentity} from './members/run_identity.js';
import {createPeerClients} from './peers/peer_client.js';
import type {PeerKeys} from './peers/peer_keys.js';
import type {GatewayPeerRouter} from './peers/peer_router.js';
import {createRelayedStore, type RelayedCall} from './peers/relayed_store.js';
import {CRASH_SHARDS} from './quarantine/constants.js';
import {CRASHES} from './quarantine/crash_rows.js';
import {createQuarantine} from './quarantine/quarantine.js';
import {createRoutingTable} from './routing/routing_table.js';
import {createStoredOrigins} from './streams/stored_origins.js';
import {createStreamOrigins} from './streams/stream_origins.js';

/** The operators' platform, as provided by a platform adapter. */
export interface GatewayPlatform {
  table: TableStore;
  /** The time of the store's clock. */
  time: SharedTime;
  objects: SmallObjectStore;
  watch: CollectionWatch;
  callers: CallerProtocol;
  endpoints: EndpointProtocol;
  /**
   * Since when a feed of the store has had no response; undefined if all feeds
   * have one.
   */
  getStoreLostAt(): number | undefined;
}

/**
 * Timeout of a store call through a peer, in ms: the time of two attempts by
 * the peer.
 */
const RELAYED_CALL_TIMEOUT_MS = 2000;

export interface GatewayPartsDependencies {
  settings: GatewaySettings;
  platform: GatewayPlatform;
  peerKeys: PeerKeys;
  clock: Clock;
  log: Log;
  metrics: Metrics;
}

/** All parts of a gateway instance. */
export type GatewayParts = ReturnType<typeof createGatewayParts>;

/** Creates the parts. gateway_instance.ts starts them. */
export function createGatewayParts({
  settings,
  platform,
  peerKeys,
  clock,
  log,
  metrics,
}: GatewayPartsDependencies) {
  const {name, region, failure_domain: failureDomain} = settings.instance;
  const {cpu_share: cpuShare, cores} = settings.instance;
  const {table, objects, watch, time} = platform;
  const self = {
    name,
    address: settings.listen.peers,
    region,
    failureDomain,
    ...createRunIdentity(clock, time),
    capacity: cpuShare * cores,
  };
  const getIncarnation = () => self.incarnation;
  const crashes = metrics.createCounter(
    'actor_crashes_total',
    'Crashes of periodic work, which then went on, by actor.',
    ['actor'],
  );
  const system = startActorSystem(name, (actor, error) => {
    crashes.inc({actor});
    log.warn({actor, err: error}, 'actor crashed; resuming with its next run');
  });
  const routing = createRoutingTable();
  const peerClients = createPeerClients<GatewayPeerRouter>(
    self,
    peerKeys,
    clock,
  );

  /**
   * Throws until the list is known: an unknown list must not count as empty.
   */
  async function fetchList(): Promise<ListedInstance[]> {
    if (!endpoints.isKnown() || !directory.isKnown()) {
      throw new StoreError('the registrations are not known yet', 'none');
    }
    return [...directory.list(), ...endpoints.list()];
  }

  /** Reads the list again. It is in memory, so a change is active at once. */
  function refreshMembers() {
    members.poll().then(
      () => dispatch.refresh(),
      (error: unknown) => {
        if (!(error instanceof StoreError)) throw error;
      },
    );
  }

  const directory = createEntryDirectory({
    self,
    table,
    watch,
    log,
    onChange: refreshMembers,
  });
  const evacuations = createEvacuations({
    clock,
    log,
    getStoreLostAt: platform.getStoreLostAt,
    listReports: () => members.listWitnessReports(),
    onChange: refreshMembers,
  });
  const endpoints = createEndpointDirectory({
    clock,
    log,
    heartbeatMs: settings.platform.heartbeat,
    listReports: () => members.listWitnessReports(),
    evacuations,
    onChange: refreshMembers,
  });
  const members: Members = createMembers(
    self,
    {fetch: fetchList},
    {
      clock,
      sendHeartbeat: (peer, heartbeat) =>
        peerClients.get(peer.address).members.heartbeat.mutate(heartbeat),
      readStatus: () => ({
        generation: routing.getVersion(),
        storeReachable: platform.getStoreLostAt() === undefined,
      }),
      readAnswerPeriod: endpoints.computeAnswerPeriod,
      readEvacuated: evacuations.list,
    },
  );
  const presenceChecks = createPresenceChecks({
    clock,
    time,
    log,
    metrics,
    table,
    watch,
    members,
    directory,
  });
  members.subscribe(() => {
    const live = new Set(members.listLive().map(each => each.name));
    const missing = directory
      .list()
      .map(each => each.name)
      .filter(each => !live.has(each));
    log.info({live: live.size, missing}, 'set of live instances changed');
  });

  /** Whether the store answers other instances but not this one. */
  function isWithoutStoreAccess(): boolean {
    return hasLostStoreAccess(
      platform.getStoreLostAt(),
      members.listWitnessReports(),
    );
  }

  const dispatch = createFleetDispatch({
    clock,
    members,
    services: routing,
    peers: peerClients,
    log,
    metrics,
    isWithoutStoreAccess,
    findColdUntil: endpoints.findColdUntil,
    isEvacuated: evacuations.isEvacuated,
  });
  const ownerLimits = createOwnerLimits({
    clock,
    metrics,
    members,
    countKnown: directory.count,
    findLimits(account) {
      const found = routing.findAccount(account);
      return found && {rate: found.ratePerS, burst: found.burst};
    },
    peers: {
      take: (address, input, timeoutMs) =>
        peerClients
          .get(address)
          .ownerLimits.take.mutate(input, {context: {timeoutMs}}),
      refund(address, account) {
        // A lost refund costs the account one token.
        peerClients
          .get(address)
          .ownerLimits.refund.mutate({account})
          .catch(() => {});
      },
    },
  });
  /**
   * Sends a store call to a peer, if the store refuses only this instance. The call may
   * contain requests that must not leave the region.
   */
  function forwardToPeer(call: RelayedCall) {
    if (!isWithoutStoreAccess()) return undefined;
    const peer = members
      .listWitnessReports()
      .filter(({storeReachable}) => storeReachable)
      .sort((a, b) => b.askedAt - a.askedAt)
      .map(report => members.find(report.name))
      .filter(found => found?.region === region)
      .find(found => found && !members.isSuspected(found.name));
    if (!peer) return undefined;
    return peerClients
      .get(peer.address)
      .store.run.mutate(call, {context: {timeoutMs: RELAYED_CALL_TIMEOUT_MS}});
  }

  const relayed = createRelayedStore({table, objects, time}, forwardToPeer);
  const quarantine = createQuarantine({
    clock,
    time,
    log,
    metrics,
    table: relayed.table,
    watch,
    shards: CRASH_SHARDS,
    isPruner: () => members.rankInstances(CRASHES)[0]?.name === name,
  });
  const origins = createStreamOrigins({
    clock,
    log,
    metrics,
    getSelfAddress: () => self.address,
    findKeeper: pool => dispatch.findStandby(getServiceName(pool), pool),
    noteSilent: dispatch.noteSilent,
    listSiblings: pool =>
      dispatch
        .listPoolNames(getServiceName(pool))
        .filter(other => other !== pool),
    peers: peerClients,
    stored: createStoredOrigins({
      clock,
      time,
      log,
      table: relayed.table,
      writer: name,
    }),
  });
  const connections = createHttpConnections({
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    maxAgeMs: MAX_CONNECTION_AGE_MS,
  });
  const responseCounter = metrics.createCounter(
    'endpoint_responses_total',
    'Responses of endpoints, by what marks their end and how the connection ended.',
    ['framing', 'connection_end'],
  );
  const runDependencies = {
    clock,
    connections,
    protocol: platform.endpoints,
    noteMisdirected: endpoints.noteMisdirected,
    noteResponse: ({framing, connectionEnd}: ReceivedResponse) =>
      responseCounter.inc({
        framing,
        connection_end: connectionEnd ?? 'open',
      }),
    routing,
    dispatch,
    quarantine,
    getIncarnation,
  };
  const heldAnswers = createHeldAnswers({
    clock,
    log,
    metrics,
    budget: computeAnswerBudget(settings.memory),
  });
  const relay = createRelay({
    ...runDependencies,
    log,
    metrics,
    limits: ownerLimits,
    origins,
    heldAnswers,
  });
  const store = createBundleStore(relayed.table, relayed.objects);
  const worker = createBundleWorker({
    clock,
    time,
    log,
    metrics,
    store,
    watch,
    routing,
    members,
    directory,
    runner: createItemRunner({...runDependencies, log}),
    peers: {
      // A lost message needs no retry: both sides check periodically for what
      // it says.
      sendOrphans: (address, orphans) =>
        void peerClients
          .get(address)
          .bundles.adopt.mutate({orphans: [...orphans]})
          .catch(() => {}),
      sendEnded: (address, id) =>
        void peerClients
          .get(address)
          .bundles.ended.mutate({id})
          .catch(() => {}),
    },
  });
  const bundles = createBundles({
    clock,
    time,
    log,
    metrics,
    store,
    routing,
    worker,
    getSelf: () => ({owner: self.name, incarnation: self.incarnation}),
  });

  return {
    self,
    system,
    routing,
    peerClients,
    directory,
    evacuations,
    endpoints,
    members,
    presenceChecks,
    refreshMembers,
    dispatch,
    ownerLimits,
    connections,
    quarantine,
    origins,
    heldAnswers,
    relay,
    worker,
    bundles,
  };
}
