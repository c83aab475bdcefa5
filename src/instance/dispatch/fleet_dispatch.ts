/**
 * Dispatch over the fleet: finds the pool's dispatcher, asks it for a slot, and
 * decides alone with this instance's share when it is silent.
 *
 * Two dispatchers for a moment, or none, cost quality and never a promise:
 * slots bound how full endpoints are, not whether a request may run twice.
 */
import type {Clock} from '../../common/clock.js';
import {RouterError} from '../../common/errors.js';
import type {Metrics} from '../../common/metrics.js';
import type {StateSource} from '../../common/state_dump.js';
import type {ScheduledRequest} from '../../decisions/scheduler_types.js';
import type {ListedInstance} from '../../platform/instance_list.js';
import type {Configuration} from '../configuration/configuration.js';
import type {Members} from '../members/members.js';
import type {PeerClients} from '../peers/peer_client.js';
import {MAX_POOLS_TRIED} from './constants.js';
import type {Dispatch, Slot, SlotOutcome, SlotRequest} from './dispatch.js';
import {receiveReport} from './dispatch_router.js';
import {createHeldSlots} from './held_slots.js';
import {createLoneDispatch, selectOwnShare} from './lone_dispatch.js';
import type {PoolDispatcher, SlotAnswer} from './pool_dispatcher.js';
import {createPoolDirectory} from './pool_directory.js';
import {createPoolTable, type PoolTable} from './pool_table.js';
import type {Pool} from './pools.js';
import {
  createRemoteDispatchers,
  DispatcherSilentError,
} from './remote_dispatcher.js';
import {
  buildRefusalError,
  NO_DISPATCHER,
  NO_ENDPOINT,
  type SlotRefusal,
} from './slot_refusal.js';
import {buildSlotReports} from './slot_reports.js';

/** What dispatch works with. */
export interface FleetDispatchDependencies {
  clock: Clock;
  members: Members;
  configuration: Configuration;
  peers: PeerClients;
  metrics: Metrics;
}

/** Dispatch with what its peers and its periodic work need. */
export interface FleetDispatch extends Dispatch, StateSource {
  pools: PoolTable;
  yieldSlot(requestId: string): void;
  /** Once a second: endpoints, limits, holders that are gone. */
  refresh(): void;
  /** Tells each dispatcher which of its slots this instance holds. */
  report(): void;
  /** Services of which this instance dispatches for a pool. */
  listOwnServices(): string[];
  /** Endpoints of a pool. */
  listEndpointsOf(service: string, poolName: string): ListedInstance[];
  /** Hands over: waiting requests are sent to the next dispatcher. */
  stop(): void;
}

/** One request on its way to a slot of one pool. */
interface Attempt {
  request: SlotRequest;
  scheduled: ScheduledRequest;
  pool: Pool;
  service: string;
}

/** A granted slot before it is handed out. */
interface Grant {
  endpoint: string;
  /** Peer address of the dispatcher; undefined when decided alone. */
  dispatcher?: string;
  way: 'own' | 'remote' | 'alone';
  giveBack: (outcome: SlotOutcome) => void;
  /** Tells the dispatcher; absent when there is none. */
  noteFirstByte?: (firstByteMs: number) => void;
}

type AttemptResult =
  {kind: 'slot'; slot: Slot} | Exclude<SlotAnswer, {kind: 'granted'}>;

/** Dispatches for the pools that rank this instance first. */
export function createFleetDispatch({
  clock,
  members,
  configuration,
  peers,
  metrics,
}: FleetDispatchDependencies): FleetDispatch {
  const {self} = members;
  const held = createHeldSlots();
  const remote = createRemoteDispatchers(clock, peers, () => self.address);
  let stopped = false;
  const directory = createPoolDirectory(members, configuration, address =>
    address === self.address ? stopped : remote.isLeaving(address, clock.now()),
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
  const pools = createPoolTable(
    clock,
    directory.viewPool,
    (holder, requestIds) => {
      if (holder === self.address) requestIds.forEach(held.yieldSlot);
      else remote.yieldSlots(holder, requestIds);
    },
  );
  const lone = createLoneDispatch(clock, (service, poolName) => {
    const view = directory.viewPool(service, poolName);
    return selectOwnShare(view, members.listLive(), self.name);
  });

  /**
   * The dispatcher may have changed while the request ran; the new one counts
   * the slot from a report and must hear of its end as well.
   */
  function releaseAtCurrent(
    {service, pool, scheduled}: Attempt,
    {dispatcher}: Grant,
    outcome: SlotOutcome,
  ) {
    const current = directory.findDispatcherOf(service, pool.name);
    if (current === undefined || current === dispatcher) return;
    if (current === self.address) {
      pools.find(pool.name)?.release(scheduled.id, outcome);
    } else remote.release(current, pool.name, scheduled.id, outcome);
  }

  /** Checks once more that somebody still wants the slot. */
  function openSlot(attempt: Attempt, grant: Grant): AttemptResult {
    const {request, scheduled, pool} = attempt;
    const endpoint = pool.endpoints.find(
      ({address}) => address === grant.endpoint,
    );
    if (!endpoint || request.signal.aborted) {
      grant.giveBack({kind: 'cancelled', tokens: 0});
      return NO_ENDPOINT;
    }
    const yieldSignal = held.add({
      service: attempt.service,
      pool: pool.name,
      endpoint: grant.endpoint,
      request: scheduled,
      giveBack(outcome) {
        grant.giveBack(outcome);
        releaseAtCurrent(attempt, grant, outcome);
      },
    });
    grants.inc({class: request.workClass, way: grant.way});
    const release: Slot['release'] = outcome =>
      held.release(scheduled.id, outcome);
    const {noteFirstByte} = grant;
    return {
      kind: 'slot',
      slot: {endpoint, yieldSignal, release, noteFirstByte},
    };
  }

  async function acquireHere(
    dispatcher: PoolDispatcher,
    attempt: Attempt,
    way: Grant['way'],
  ): Promise<AttemptResult> {
    const {request, scheduled} = attempt;
    function cancelWait() {
      dispatcher.release(scheduled.id, {kind: 'cancelled', tokens: 0});
    }
    request.signal.addEventListener('abort', cancelWait, {once: true});
    const answer = await dispatcher.submit(scheduled, self.address);
    request.signal.removeEventListener('abort', cancelWait);
    if (answer.kind !== 'granted') return answer;
    return openSlot(attempt, {
      endpoint: answer.endpoint,
      dispatcher: way === 'own' ? self.address : undefined,
      way,
      giveBack: outcome => dispatcher.release(scheduled.id, outcome),
      noteFirstByte: firstByteMs =>
        dispatcher.noteFirstByte(scheduled.id, firstByteMs),
    });
  }

  async function acquireRemote(
    address: string,
    attempt: Attempt,
  ): Promise<AttemptResult> {
    const {request, scheduled, pool, service} = attempt;
    const answer = await remote.acquire(address, {
      service,
      pool: pool.name,
      request: scheduled,
      signal: request.signal,
    });
    if (answer.kind !== 'granted') return answer;
    return openSlot(attempt, {
      endpoint: answer.endpoint,
      dispatcher: address,
      way: 'remote',
      giveBack: outcome =>
        remote.release(address, pool.name, scheduled.id, outcome),
      noteFirstByte: firstByteMs =>
        remote.noteFirstByte(address, pool.name, scheduled.id, firstByteMs),
    });
  }

  async function acquireFrom(attempt: Attempt): Promise<AttemptResult> {
    const {pool, service, request} = attempt;
    const address = directory.findDispatcher(pool);
    if (address === self.address) {
      return acquireHere(pools.open(service, pool.name), attempt, 'own');
    }
    if (!remote.isSilent(address, clock.now())) {
      try {
        return await acquireRemote(address, attempt);
      } catch (error) {
        if (!(error instanceof DispatcherSilentError)) throw error;
      }
    }
    if (request.workClass === 'batch') return NO_DISPATCHER;
    return acquireHere(lone.open(service, pool.name), attempt, 'alone');
  }

  /** Tries pools in turn until one gives a slot. */
  async function acquireFromPools(
    request: SlotRequest,
  ): Promise<Slot | SlotRefusal> {
    const service = request.service.document.service.name;
    const scheduled = buildScheduledRequest(request);
    const tried = new Set<string>();
    let refusal = NO_ENDPOINT;
    while (tried.size < MAX_POOLS_TRIED) {
      const pool = directory
        .rankFor(request)
        .find(candidate => !tried.has(candidate.name));
      if (!pool) break;
      const result = await acquireFrom({request, scheduled, pool, service});
      if (result.kind === 'slot') return result.slot;
      if (result.kind === 'moved') continue;
      refusal = result;
      tried.add(pool.name);
      if (refusal.reason === 'deadline') break;
    }
    return refusal;
  }

  return {
    pools,
    yieldSlot: held.yieldSlot,
    listOwnServices: directory.listOwnServices,
    listEndpointsOf: (service, poolName) =>
      directory.findPool(service, poolName)?.endpoints ?? [],
    async acquireSlot(request) {
      const result = await acquireFromPools(request);
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
      pools.refresh();
      lone.refresh();
      const live = new Set(members.listLive().map(({address}) => address));
      live.add(self.address);
      for (const {dispatcher} of pools.list()) {
        for (const holder of dispatcher.listHolders()) {
          if (!live.has(holder)) dispatcher.removeHolder(holder);
        }
      }
    },
    report() {
      const now = clock.now();
      const reports = buildSlotReports(held.list(), directory, now);
      for (const [address, slots] of reports) {
        if (address === self.address) {
          receiveReport(pools, self.address, slots, now);
        } else remote.report(address, slots);
      }
    },
    stop() {
      stopped = true;
      pools.stop();
      lone.stop();
    },
    describeState: () => ({
      held: held.list().length,
      pools: Object.fromEntries(
        pools.list().map(({name, dispatcher}) => [name, dispatcher.describe()]),
      ),
    }),
  };
}

function buildScheduledRequest(request: SlotRequest): ScheduledRequest {
  const {document} = request.service;
  return {
    id: request.requestId,
    account: request.account,
    weight: document.account[request.account]?.weight ?? 1,
    workClass: request.workClass,
    deadline: request.deadline,
    promptTokens: request.promptTokens,
    answerTokens: request.answerTokens,
    prefixHashes: request.prefixHashes,
    avoid: request.avoid,
  };
}
