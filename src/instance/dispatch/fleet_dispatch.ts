/**
 * Dispatch across the fleet. It finds the pool's dispatcher and asks it for a
 * slot; when too many dispatchers are silent, it falls back to this instance's
 * own share of the pool.
 *
 * A pool may briefly have two dispatchers or none. That lowers quality but
 * breaks no guarantee, because slots bound the load of endpoints and do not
 * decide whether a request may run twice.
 */
import type {Clock} from '../../common/clock.js';
import {RouterError} from '../../common/errors.js';
import type {Log} from '../../common/log.js';
import type {Metrics} from '../../common/metrics.js';
import type {StateSource} from '../../common/state_dump.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import type {Members} from '../members/members.js';
import type {Dispatch, ServiceCatalog, SlotRequest} from './dispatch.js';
import {receiveReport} from './dispatch_router.js';
import type {PoolDescription} from './dispatch_schemas.js';
import {createLoadMetrics} from './load_metrics.js';
import {createHeldSlots} from './held_slots.js';
import {createFallbackDispatch, selectOwnShare} from './fallback_dispatch.js';
import {
  createPoolDirectory,
  type ColdnessFinder,
  type PoolDirectory,
} from './pool_directory.js';
import type {GatheredPool} from './pool_dispatcher.js';
import {createPoolTable, type PoolTable} from './pool_table.js';
import {mergeLatencies} from './known_latencies.js';
import {
  createRemoteDispatchers,
  type DispatchPeers,
} from './remote_dispatcher.js';
import {createShareMetrics} from './share_metrics.js';
import {createSlotAcquirer} from './slot_acquirer.js';
import {buildRefusalError} from './slot_refusal.js';
import {createSlotReporter, encodeSlot} from './slot_reports.js';

export interface FleetDispatchDependencies {
  clock: Clock;
  members: Members;
  services: ServiceCatalog;
  peers: DispatchPeers;
  log: Log;
  metrics: Metrics;
  /** Whether this instance is without store access, so that its list is old. */
  isWithoutStoreAccess?: () => boolean;
  /** When endpoints are known to be cold; by default none is. */
  findColdUntil?: ColdnessFinder;
  /** Whether endpoints of a failure domain get no new work. */
  isEvacuated?: (failureDomain: string) => boolean;
}

/** Dispatch, with the operations for peers and periodic tasks. */
export interface FleetDispatch extends Dispatch, StateSource {
  pools: PoolTable;
  yieldSlot(requestId: string): void;
  /** Records that a dispatcher stops or stands down. */
  noteMoved(dispatcher: string): void;
  /** Describes a pool to its new dispatcher. */
  describePool(poolName: string): PoolDescription;
  /**
   * Updates endpoints and limits and removes holders that are gone. Runs once a
   * second.
   */
  refresh(): void;
  /** Reports to each dispatcher which of its slots this instance holds. */
  report(): void;
  /** Lists services that have a pool for which this instance dispatches. */
  listOwnServices(): string[];
  /**
   * Returns the address of the instance that would dispatch next for a pool; undefined
   * if there is no such pool, or if this instance is likely cut off.
   */
  findStandby(service: string, poolName: string): string | undefined;
  /** Records that an instance did not respond, so that it is passed over. */
  noteSilent(address: string): void;
  /** Lists the pools that a request tries, best first. */
  listPoolsFor(request: SlotRequest): string[];
  /** Versions of a service's endpoints that accept new work. */
  listVersions(service: string): Set<string>;
  listPoolNames(service: string): string[];
  /** Finds this instance's list entry of an endpoint of a pool. */
  findEndpoint: PoolDirectory['findEndpoint'];
  listEndpointsOf(service: string, poolName: string): ListedInstance[];
  /** Stops dispatching and sends waiting requests to the next dispatcher. */
  stop(): void;
}

/** Creates dispatch, which serves the pools that rank this instance first. */
export function createFleetDispatch({
  clock,
  members,
  services,
  peers,
  log,
  metrics,
  isWithoutStoreAccess = () => false,
  findColdUntil,
  isEvacuated = () => false,
}: FleetDispatchDependencies): FleetDispatch {
  const {self} = members;
  const held = createHeldSlots();
  const remote = createRemoteDispatchers(clock, peers, () => self.address);
  let stopped = false;
  const directory = createPoolDirectory(
    members,
    services,
    address =>
      address === self.address
        ? stopped || isWithoutStoreAccess()
        : remote.isSkipped(address, clock.now()),
    findColdUntil,
  );
  const grants = metrics.createCounter(
    'dispatch_slots_granted_total',
    'Slots granted to requests of this instance, by class and by who decided',
    ['class', 'way'],
  );
  const refusals = metrics.createCounter(
    'dispatch_refusals_total',
    'Requests of this instance that were given no slot, by class and reason',
    ['class', 'reason'],
  );
  const {observePace, noteUnreadableLoad} = createLoadMetrics(metrics, log);
  const memoryWaits = metrics.createCounter(
    'dispatch_memory_waits_total',
    'Requests that waited for memory of an endpoint while slots were free, counted by their dispatcher',
  );
  const memoryRefusals = metrics.createCounter(
    'dispatch_memory_refusals_total',
    'Requests of this instance that were refused because they need more memory than any endpoint has, by class',
    ['class'],
  );
  const reporter = createSlotReporter(directory);

  function countMemoryWaits() {
    for (const {dispatcher} of [...pools.list(), ...fallbackPools.list()]) {
      memoryWaits.inc(dispatcher.takeMemoryWaits());
    }
  }

  /**
   * Removes the size where it adds nothing, because older builds refuse messages with
   * it: where it is the sum of the estimates, or so small that twice all slots of it fit.
   */
  function stripSize(request: SlotRequest): SlotRequest {
    const {service, memoryTokens = 0, promptTokens, answerTokens} = request;
    const estimate = promptTokens + answerTokens;
    const ofEndpoint = services.findMemoryTokens(service) ?? Infinity;
    const slots = services.findConcurrency(service) ?? 1;
    const isUseful =
      memoryTokens !== estimate &&
      2 * slots * Math.max(memoryTokens, estimate) > ofEndpoint;
    return isUseful ? request : {...request, memoryTokens: undefined};
  }

  function sendReports() {
    const now = clock.now();
    for (const [address, report] of reporter.build(held.list(), now)) {
      if (address === self.address) {
        receiveReport(pools, {holder: self.address, ...report}, now);
      } else remote.report(address, report);
    }
  }

  /** Sends reports at once if the dispatcher of a reported pool has changed. */
  function reportMovedPools() {
    const moved = reporter.listMoved();
    if (moved.length === 0) return;
    for (const movedPool of moved)
      log.info(movedPool, 'dispatcher of pool changed');
    sendReports();
  }

  function noteMoved(dispatcher: string) {
    remote.noteLeaving(dispatcher, clock.now());
    reportMovedPools();
  }

  function sendMovedNotices(holders: ReadonlySet<string>) {
    for (const holder of holders) {
      if (holder !== self.address) remote.sendMoved(holder);
    }
    reportMovedPools();
  }

  /** Asks every live instance, which is affordable once per takeover. */
  async function gatherPool(poolName: string): Promise<GatheredPool> {
    const others = members
      .listLive()
      .filter(({address}) => address !== self.address);
    const answers = await Promise.all(
      others.map(({address}) => remote.gather(address, poolName)),
    );
    const known = answers.filter(answer => answer !== undefined);
    const own = held.list().filter(({pool}) => pool === poolName);
    const latencies = known.map(({latency}) => latency);
    const ownLatency = remote.findLatency(poolName);
    if (ownLatency?.speeds) latencies.push(ownLatency);
    return {
      slots: [{holder: self.address, slots: own}, ...known],
      latency: mergeLatencies(latencies),
    };
  }

  const pools = createPoolTable(
    clock,
    directory.viewPool,
    (holder, requestIds) => {
      if (holder === self.address) requestIds.forEach(held.yieldSlot);
      else remote.yieldSlots(holder, requestIds);
    },
    {
      isWithoutStoreAccess,
      gather: gatherPool,
      notifyMoved: sendMovedNotices,
      hasOtherPool: (service, poolName) =>
        directory.listPools(service).some(({name}) => name !== poolName),
      observePace,
    },
  );
  const fallbackPools = createFallbackDispatch(
    clock,
    (service, poolName) => {
      const view = directory.viewPool(service, poolName);
      return selectOwnShare(view, members.listLive(), self.name);
    },
    remote.findLatency,
    poolName => [{holder: self.address, slots: listSized(poolName)}],
    observePace,
  );

  /**
   * Lists the slots of this instance that count against its part of the memory in
   * fallback dispatch, whoever granted them.
   */
  function listSized(poolName: string) {
    return held
      .list()
      .filter(
        ({pool, service}) =>
          pool === poolName && services.findMemoryTokens(service) !== undefined,
      );
  }

  /** Keeps slots counted that run for longer than an unreported one is kept. */
  function reportToFallback() {
    for (const {name, service, dispatcher} of fallbackPools.list()) {
      if (services.findMemoryTokens(service) === undefined) continue;
      dispatcher.receiveReport(self.address, listSized(name));
    }
  }

  /** While the dispatchers stay silent, a request keeps its turn in the own share. */
  function endFallbackWaits() {
    if (remote.isCutOff(clock.now()) || !remote.isAnswered()) return;
    for (const {dispatcher} of fallbackPools.list()) {
      dispatcher.endWaits({kind: 'moved'});
    }
  }

  const updateShareMetrics = createShareMetrics(metrics, log, [
    pools,
    fallbackPools,
  ]);

  const acquirer = createSlotAcquirer({
    clock,
    self,
    held,
    directory,
    remote,
    pools,
    fallbackPools,
    grants,
    noteUnreadableLoad,
    isWithoutStoreAccess,
    isEvacuated,
    onMoved: reportMovedPools,
  });

  return {
    pools,
    noteMoved,
    yieldSlot: held.yieldSlot,
    findEndpoint: directory.findEndpoint,
    findStandby: (service, poolName) =>
      remote.isCutOff(clock.now())
        ? undefined
        : directory.findStandby(service, poolName),
    noteSilent: address => remote.noteSilent(address, clock.now()),
    listPoolsFor: request => directory.rankFor(request).map(({name}) => name),
    listVersions: service =>
      new Set(
        directory
          .listPools(service)
          .flatMap(({endpoints}) => endpoints)
          .map(({version}) => version)
          .filter(version => version !== undefined),
      ),
    listPoolNames: service =>
      directory.listPools(service).map(({name}) => name),
    listOwnServices: directory.listOwnServices,
    listEndpointsOf: (service, poolName) =>
      directory.findPool(service, poolName)?.endpoints ?? [],
    async acquireSlot(request) {
      const result = await acquirer.acquire(stripSize(request));
      if (!('reason' in result)) return result;
      if (request.signal.aborted) {
        throw new RouterError('cancelled', 'the caller is gone', {
          verdict: 'not-run',
        });
      }
      refusals.inc({class: request.workClass, reason: result.reason});
      if (result.reason === 'too-large') {
        memoryRefusals.inc({class: request.workClass});
      }
      throw buildRefusalError(result);
    },
    refresh() {
      directory.refresh();
      if (isWithoutStoreAccess()) pools.standDown();
      pools.refresh();
      fallbackPools.refresh();
      endFallbackWaits();
      countMemoryWaits();
      updateShareMetrics();
      reportMovedPools();
      const live = new Set(members.listLive().map(({address}) => address));
      live.add(self.address);
      for (const {dispatcher} of pools.list()) {
        dispatcher.removeSilentHolders(live);
      }
    },
    report() {
      sendReports();
      reportToFallback();
    },
    stop() {
      stopped = true;
      pools.stop();
      fallbackPools.stop();
    },
    describePool(poolName) {
      const now = clock.now();
      const own = held.list().filter(({pool}) => pool === poolName);
      return {
        slots: own.map(slot => encodeSlot(slot, now)),
        latency: remote.findLatency(poolName),
      };
    },
    describeState: () => ({
      held: held.list().length,
      pools: describePools(pools),
      ...(fallbackPools.list().length > 0 && {
        fallbackPools: describePools(fallbackPools),
      }),
    }),
  };
}

function describePools(pools: PoolTable): Record<string, object> {
  return Object.fromEntries(
    pools.list().map(({name, dispatcher}) => [name, dispatcher.describe()]),
  );
}
