/**
 * Sends orders to the engines until they run what the service documents
 * specify: which model, version, adapters and role, in which region. Only the
 * instance that ranks first in the fleet does this. For all others the only
 * cost is the ranking.
 */
import type {Clock} from '../../common/clock.js';
import type {Metrics} from '../../common/metrics.js';
import type {StateSource} from '../../common/state_dump.js';
import {StoreError, type TableStore} from '../../stores/table_store.js';
import type {Configuration} from '../configuration/configuration.js';
import type {EngineControl} from '../endpoints/endpoint_adapter.js';
import {
  createLeaseObserver,
  type InstanceLease,
} from '../members/instance_lease.js';
import type {Members} from '../members/members.js';
import {RECORDS_RELOAD_INTERVAL_MS} from './constants.js';
import {createOrderer} from './orderer.js';
import {
  placeModels,
  planOrders as planByDocument,
  type PlacedEndpoint,
  type PlannedOrder,
  type PlanOrders,
} from './placement.js';
import {createPlacementRecords} from './placement_records.js';

/** Ranking key that selects the orderer. */
const RANKING_KEY = 'orders';

export interface OrdersDependencies {
  clock: Clock;
  table: TableStore;
  lease: InstanceLease;
  members: Pick<Members, 'self' | 'rankInstances' | 'listEndpoints'>;
  configuration: Pick<Configuration, 'list'>;
  sendOrder: EngineControl['sendOrder'];
  metrics?: Metrics;
  planOrders?: PlanOrders;
}

/** The part of an instance that sends orders. */
export interface Orders extends StateSource {
  /** Runs one round. Throws StoreError if the table does not answer. */
  poll(): Promise<void>;
  /**
   * Lets another instance send orders. Call it only when no round is running.
   */
  release(): Promise<void>;
}

/** Creates orders without the right to send them. */
export function createOrders(dependencies: OrdersDependencies): Orders {
  const {clock, table, lease, members, configuration, sendOrder} = dependencies;
  const planOrders = dependencies.planOrders ?? planByDocument;
  const orderer = createOrderer(table, lease, createLeaseObserver(table));
  const records = createPlacementRecords(table, orderer);
  const ordersTotal = dependencies.metrics?.createCounter(
    'orders_total',
    'Orders to model engines, by kind and outcome: taken, refused (the engine has seen a higher fencing number), failed (no usable answer: given again).',
    ['kind', 'outcome'],
  );
  let loadedFor: number | undefined;
  let reloadAt = -Infinity;
  let waiting = 0;

  function isFirst(): boolean {
    return members.rankInstances(RANKING_KEY)[0]?.name === members.self.name;
  }

  function listPlaced(now: number): PlacedEndpoint[] {
    return configuration.list().flatMap(({document}) => {
      const {fencing} = document.endpoint;
      const mustWait = fencing === 'ignored' && orderer.isSettling(now);
      if (Object.keys(document.model).length === 0 || mustWait) return [];
      return placeService(document);
    });
  }

  function placeService(
    document: PlacedEndpoint['document'],
  ): PlacedEndpoint[] {
    const endpoints = members.listEndpoints(document.service.name);
    const assigned = placeModels(document, endpoints, records.getHeld);
    return endpoints.flatMap(endpoint => {
      const wanted = assigned.get(endpoint.name);
      const held = records.getHeld(endpoint);
      return wanted ? [{endpoint, document, held, wanted}] : [];
    });
  }

  async function sendPlanned(
    {endpoint, document, kind, name}: PlannedOrder,
    fencing: number,
  ): Promise<'taken' | 'refused' | 'failed'> {
    const target = {endpoint, limits: document.endpoint};
    try {
      return (await sendOrder(target, {kind, name, fencing})).kind;
    } catch {
      return 'failed';
    }
  }

  /** Returns whether this instance is still the orderer. */
  async function runOrder(order: PlannedOrder): Promise<boolean> {
    if (!(await records.noteOrdering(order.endpoint))) return false;
    const fencing = orderer.findFencing(clock.now());
    if (fencing === undefined) return false;
    const outcome = await sendPlanned(order, fencing);
    ordersTotal?.inc({kind: order.kind, outcome});
    if (outcome === 'refused') return false;
    const isNoted =
      outcome === 'failed'
        ? orderer.findFencing(clock.now()) !== undefined
        : await records.noteHeld(order.endpoint, order.result);
    if (!isNoted) await records.noteUnclear(order.endpoint);
    return isNoted;
  }

  async function runRound(fencing: number) {
    if (loadedFor !== fencing || clock.now() >= reloadAt) {
      await records.load();
      loadedFor = fencing;
      reloadAt = clock.now() + RECORDS_RELOAD_INTERVAL_MS;
    }
    const placed = listPlaced(clock.now());
    waiting = placed.length;
    for (const order of planOrders(placed)) {
      if (await runOrder(order)) continue;
      orderer.drop();
      loadedFor = undefined;
      return;
    }
  }

  return {
    async poll() {
      const now = clock.now();
      if (!isFirst()) return orderer.release();
      try {
        await orderer.acquire(now);
        const fencing = orderer.findFencing(clock.now());
        if (fencing !== undefined) await runRound(fencing);
      } catch (error) {
        // A record may have been written although the call failed, so the next
        // round reads all records again.
        loadedFor = undefined;
        throw error;
      }
    },
    async release() {
      try {
        await orderer.release();
      } catch (error) {
        // The lease expires anyway, and then the next orderer can take over.
        if (!(error instanceof StoreError)) throw error;
      }
    },
    describeState: () => ({
      fencing: orderer.findFencing(clock.now()),
      settling: orderer.isSettling(clock.now()),
      endpoints: waiting,
    }),
  };
}
