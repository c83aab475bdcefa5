/**
 * Dispatch over the fleet: finds the pool's dispatcher, asks it for a slot, and
 * decides alone with this instance's share when it is silent.
 *
 * Two dispatchers for a moment, or none, cost quality and never a promise:
 * slots bound how full endpoints are, not whether a request may run twice.
 */
import type {Clock} from '../../common/clock.js';
import {RouterError} from '../../common/errors.js';
import type {Log} from '../../common/log.js';
import type {Metrics} from '../../common/metrics.js';
import type {StateSource} from '../../common/state_dump.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import type {Members} from '../members/members.js';
import type {Dispatch, ServiceCatalog} from './dispatch.js';
import {receiveReport} from './dispatch_router.js';
import type {PoolDescription} from './dispatch_schemas.js';
import {createHeldSlots} from './held_slots.js';
import {createLoneDispatch, selectOwnShare} from './lone_dispatch.js';
import {createPoolDirectory, type PoolDirectory} from './pool_directory.js';
import type {GatheredPool} from './pool_dispatcher.js';
import {createPoolTable, type PoolTable} from './pool_table.js';
import {
  createRemoteDispatchers,
  type DispatchPeers,
} from './remote_dispatcher.js';
import {createSlotAcquirer} from './slot_acquirer.js';
import {buildRefusalError} from './slot_refusal.js';
import {createSlotReporter, encodeSlot} from './slot_reports.js';

/** What dispatch works with. */
export interface FleetDispatchDependencies {
  clock: Clock;
  members: Members;
  services: ServiceCatalog;
  peers: DispatchPeers;
  log: Log;
  metrics: Metrics;
  /** Whether this instance no longer hears which endpoints come and go. */
  isBlind?: () => boolean;
}

/** Dispatch with what its peers and its periodic work need. */
export interface FleetDispatch extends Dispatch, StateSource {
  pools: PoolTable;
  yieldSlot(requestId: string): void;
  /** A dispatcher stops or stands down. */
  noteMoved(dispatcher: string): void;
  /** What this instance tells the new dispatcher of a pool. */
  describePool(poolName: string): PoolDescription;
  /** Once a second: endpoints, limits, holders that are gone. */
  refresh(): void;
  /** Tells each dispatcher which of its slots this instance holds. */
  report(): void;
  /** Services of which this instance dispatches for a pool. */
  listOwnServices(): string[];
  /** An endpoint of a pool as it is listed here. */
  findEndpoint: PoolDirectory['findEndpoint'];
  /** Endpoints of a pool. */
  listEndpointsOf(service: string, poolName: string): ListedInstance[];
  /** Hands over: waiting requests are sent to the next dispatcher. */
  stop(): void;
}

/** Dispatches for the pools that rank this instance first. */
export function createFleetDispatch({
  clock,
  members,
  services,
  peers,
  log,
  metrics,
  isBlind = () => false,
}: FleetDispatchDependencies): FleetDispatch {
  const {self} = members;
  const held = createHeldSlots();
  const remote = createRemoteDispatchers(clock, peers, () => self.address);
  let stopped = false;
  const directory = createPoolDirectory(members, services, address =>
    address === self.address
      ? stopped || isBlind()
      : remote.isPassedOver(address, clock.now()),
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
  const reporter = createSlotReporter(directory);

  function sendReports() {
    const now = clock.now();
    for (const [address, report] of reporter.build(held.list(), now)) {
      if (address === self.address) {
        receiveReport(pools, {holder: self.address, ...report}, now);
      } else remote.report(address, report);
    }
  }

  /** Reports wherever a pool has another dispatcher than it had. */
  function reportMoved() {
    const moved = reporter.listMoved();
    if (moved.length === 0) return;
    for (const each of moved) log.info(each, 'a pool has another dispatcher');
    sendReports();
  }

  function noteMoved(dispatcher: string) {
    remote.noteLeaving(dispatcher, clock.now());
    reportMoved();
  }

  function sendMovedNotices(holders: ReadonlySet<string>) {
    for (const holder of holders) {
      if (holder !== self.address) remote.sendMoved(holder);
    }
    reportMoved();
  }

  /** Asked once for each takeover, so it may go to every live instance. */
  async function gatherPool(poolName: string): Promise<GatheredPool> {
    const others = members
      .listLive()
      .filter(({address}) => address !== self.address);
    const answers = await Promise.all(
      others.map(({address}) => remote.gather(address, poolName)),
    );
    const known = answers.filter(answer => answer !== undefined);
    const own = held.list().filter(({pool}) => pool === poolName);
    return {
      slots: [{holder: self.address, slots: own}, ...known],
      latency: known.find(({latency}) => latency)?.latency,
    };
  }

  const pools = createPoolTable(
    clock,
    directory.viewPool,
    (holder, requestIds) => {
      if (holder === self.address) requestIds.forEach(held.yieldSlot);
      else remote.yieldSlots(holder, requestIds);
    },
    {isBlind, gather: gatherPool, notifyMoved: sendMovedNotices},
  );
  const lone = createLoneDispatch(
    clock,
    (service, poolName) => {
      const view = directory.viewPool(service, poolName);
      return selectOwnShare(view, members.listLive(), self.name);
    },
    remote.findLatency,
  );

  const acquirer = createSlotAcquirer({
    clock,
    self,
    held,
    directory,
    remote,
    pools,
    lone,
    grants,
    isBlind,
    onMoved: reportMoved,
  });

  return {
    pools,
    noteMoved,
    yieldSlot: held.yieldSlot,
    findEndpoint: directory.findEndpoint,
    listOwnServices: directory.listOwnServices,
    listEndpointsOf: (service, poolName) =>
      directory.findPool(service, poolName)?.endpoints ?? [],
    async acquireSlot(request) {
      const result = await acquirer.acquire(request);
      if (!('reason' in result)) return result;
      if (request.signal.aborted) {
        throw new RouterError('cancelled', 'the caller is gone', {
          verdict: 'not-run',
        });
      }
      refusals.inc({class: request.workClass, reason: result.reason});
      throw buildRefusalError(result);
    },
    refresh() {
      directory.refresh();
      if (isBlind()) pools.standDown();
      pools.refresh();
      lone.refresh();
      reportMoved();
      const live = new Set(members.listLive().map(({address}) => address));
      live.add(self.address);
      for (const {dispatcher} of pools.list()) {
        for (const holder of dispatcher.listHolders()) {
          if (!live.has(holder)) dispatcher.removeHolder(holder);
        }
      }
    },
    report: sendReports,
    stop() {
      stopped = true;
      pools.stop();
      lone.stop();
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
      pools: Object.fromEntries(
        pools.list().map(({name, dispatcher}) => [name, dispatcher.describe()]),
      ),
    }),
  };
}
