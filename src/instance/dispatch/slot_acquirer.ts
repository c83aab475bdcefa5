/**
 * Acquires a slot for one request. It tries the request's pools in turn, asks
 * for each pool the dispatcher that ranks first, and falls back to this
 * instance's own share of the pool when too many dispatchers are silent.
 */
import type {Counter} from 'prom-client';
import type {Clock} from '../../common/clock.js';
import type {ScheduledRequest} from '../../decisions/scheduler_types.js';
import type {StatedLoad} from '../../decisions/scheduler_types.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import type {SelfDescription} from '../members/members.js';
import {MAX_POOLS_TRIED, MAX_REPEATED_ROUNDS} from './constants.js';
import type {Slot, SlotOutcome, SlotRequest, SlotWay} from './dispatch.js';
import type {WireLoad} from './dispatch_schemas.js';
import type {HeldSlots} from './held_slots.js';
import type {PoolDirectory} from './pool_directory.js';
import type {PoolDispatcher, SlotAnswer} from './pool_dispatcher.js';
import type {PoolTable} from './pool_table.js';
import type {Pool} from './pools.js';
import {
  DispatcherSilentError,
  type RemoteDispatchers,
} from './remote_dispatcher.js';
import {NO_DISPATCHER, NO_ENDPOINT, type SlotRefusal} from './slot_refusal.js';

export interface SlotAcquirerDependencies {
  clock: Clock;
  self: SelfDescription;
  held: HeldSlots;
  directory: PoolDirectory;
  remote: RemoteDispatchers;
  /** Pools that this instance dispatches for. */
  pools: PoolTable;
  /** This instance's share of each pool, used when dispatchers are silent. */
  fallbackPools: PoolTable;
  /** Counts slots by class and way. */
  grants: Counter;
  /** Counts a load that cannot be read. */
  noteUnreadableLoad: () => void;
  /** Whether this instance is without store access, so that its list is old. */
  isWithoutStoreAccess: () => boolean;
  /** Whether endpoints of a failure domain get no new work. */
  isEvacuated: (failureDomain: string) => boolean;
  /** Called when a request has to ask again, usually another dispatcher. */
  onMoved: () => void;
}

/** Acquires slots for the requests of this instance. */
export interface SlotAcquirer {
  acquire(request: SlotRequest): Promise<Slot | SlotRefusal>;
}

/** One attempt of a request to get a slot of one pool. */
interface Attempt {
  request: SlotRequest;
  scheduled: ScheduledRequest;
  pool: Pool;
  service: string;
}

/** A granted slot before it is passed to the caller. */
interface Grant {
  endpoint: string;
  /** The dispatcher's list entry of the endpoint. */
  listed?: ListedInstance;
  /** Peer address of the dispatcher; undefined for fallback dispatch. */
  dispatcher?: string;
  way: SlotWay;
  releaseAtDispatcher: (outcome: SlotOutcome) => void;
  /** Notifies the dispatcher of the first byte. */
  noteFirstByte: (firstByteMs: number, load?: WireLoad) => void;
}

type AttemptResult =
  | {kind: 'slot'; slot: Slot}
  | Extract<SlotAnswer, {kind: 'refused'}>
  /** `cause` is the address of the dispatcher or endpoint that cannot be used. */
  | {kind: 'moved'; cause: string};

/** Creates an acquirer that looks up pools and dispatchers in the directory. */
export function createSlotAcquirer({
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
  onMoved,
}: SlotAcquirerDependencies): SlotAcquirer {
  /**
   * Releases the slot wherever it was adopted: in this instance's own share and at
   * the current dispatcher, if that is not the one that granted it. The dispatcher
   * may have changed while the request ran, and the new one has adopted the slot from
   * a report.
   */
  function releaseWhereAdopted(
    {service, pool, scheduled}: Attempt,
    {dispatcher}: Grant,
    outcome: SlotOutcome,
  ) {
    fallbackPools.find(pool.name)?.release(scheduled.id, outcome);
    const current = directory.findDispatcherOf(service, pool.name);
    if (current === self.address) {
      // It may dispatch for the pool again, after it had closed the one that granted.
      pools.find(pool.name)?.release(scheduled.id, outcome);
    } else if (current !== undefined && current !== dispatcher) {
      remote.release(current, pool.name, scheduled.id, outcome);
    }
  }

  /** Without store access this instance relies on the dispatcher's list. */
  function findGranted({listed}: Grant): ListedInstance | undefined {
    if (!listed || !isWithoutStoreAccess()) return undefined;
    return isEvacuated(listed.failureDomain) ? undefined : listed;
  }

  /** Turns a grant into a slot, if the caller and the endpoint still exist. */
  function openSlot(attempt: Attempt, grant: Grant): AttemptResult {
    const {request, scheduled, pool, service} = attempt;
    // The current list decides: while the request waited, its endpoint may have
    // left and the period in which it may still get work may have ended.
    const ownEntry = directory.findEndpoint(service, pool.name, grant.endpoint);
    const endpoint = ownEntry ?? findGranted(grant);
    const isSuitable =
      request.version === undefined || endpoint?.version === request.version;
    if (!endpoint || !isSuitable || request.signal.aborted) {
      grant.releaseAtDispatcher({kind: 'cancelled', tokens: 0});
      if (request.signal.aborted) return NO_ENDPOINT;
      // The endpoint has just left or runs another version now, or this instance has not
      // learned of it yet.
      // The dispatcher may take some time to notice, so the request names this
      // endpoint as one to avoid.
      scheduled.avoid = [...scheduled.avoid, grant.endpoint];
      return {kind: 'moved', cause: grant.endpoint};
    }
    const yieldSignal = held.add({
      service,
      pool: pool.name,
      endpoint: grant.endpoint,
      request: scheduled,
      releaseAtDispatcher(outcome) {
        grant.releaseAtDispatcher(outcome);
        releaseWhereAdopted(attempt, grant, outcome);
      },
    });
    grants.inc({class: request.workClass, way: grant.way});
    const release: Slot['release'] = outcome =>
      held.release(scheduled.id, outcome);
    const {way} = grant;
    function noteFirstByte(firstByteMs: number, load?: StatedLoad) {
      if (load === 'unreadable') noteUnreadableLoad();
      grant.noteFirstByte(firstByteMs, findPacedLoad(load));
    }
    return {
      kind: 'slot',
      slot: {
        endpoint,
        pool: pool.name,
        way,
        yieldSignal,
        release,
        noteFirstByte,
      },
    };
  }

  async function acquireHere(
    dispatcher: PoolDispatcher,
    attempt: Attempt,
    way: SlotWay,
  ): Promise<AttemptResult> {
    const {request, scheduled} = attempt;
    function cancelWait() {
      dispatcher.release(scheduled.id, {kind: 'cancelled', tokens: 0});
    }
    request.signal.addEventListener('abort', cancelWait, {once: true});
    const answer = await dispatcher.submit(scheduled, self.address);
    request.signal.removeEventListener('abort', cancelWait);
    if (answer.kind === 'moved') return {...answer, cause: self.address};
    if (answer.kind === 'refused') return answer;
    return openSlot(attempt, {
      endpoint: answer.endpoint,
      dispatcher: way === 'own' ? self.address : undefined,
      way,
      releaseAtDispatcher: outcome => dispatcher.release(scheduled.id, outcome),
      noteFirstByte: (firstByteMs, load) =>
        dispatcher.noteFirstByte(scheduled.id, firstByteMs, load),
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
    if (answer.kind === 'moved') return {...answer, cause: address};
    if (answer.kind === 'refused') return answer;
    return openSlot(attempt, {
      endpoint: answer.endpoint,
      listed: answer.listed,
      dispatcher: address,
      way: 'remote',
      releaseAtDispatcher: outcome =>
        remote.release(address, pool.name, scheduled.id, outcome),
      noteFirstByte: (firstByteMs, load) =>
        remote.noteFirstByte(address, {
          pool: pool.name,
          requestId: scheduled.id,
          firstByteMs,
          ...(load && {load}),
        }),
    });
  }

  async function acquireFrom(attempt: Attempt): Promise<AttemptResult> {
    const {pool, service} = attempt;
    if (remote.isCutOff(clock.now())) return acquireFallback(attempt);
    const address = directory.findDispatcher(pool);
    if (address === self.address) {
      return acquireHere(pools.open(service, pool.name), attempt, 'own');
    }
    try {
      return await acquireRemote(address, attempt);
    } catch (error) {
      if (!(error instanceof DispatcherSilentError)) throw error;
      // Asks the next dispatcher rather than using the own share: the next one
      // learns from all instances what runs, and can make batch items yield.
      // With fallback dispatch, batch work would keep the slots of each
      // instance's share until it is stopped.
      return {kind: 'moved', cause: address};
    }
  }

  async function acquireFallback(attempt: Attempt): Promise<AttemptResult> {
    const {pool, service, request} = attempt;
    if (request.workClass === 'batch') return NO_DISPATCHER;
    return acquireHere(
      fallbackPools.open(service, pool.name),
      attempt,
      'alone',
    );
  }

  /**
   * Tries pools in turn until one grants a slot. Only rounds that show nothing new are
   * limited: the fleet has a limited number of dispatchers and endpoints.
   */
  async function acquireFromPools(
    request: SlotRequest,
  ): Promise<Slot | SlotRefusal> {
    const {service} = request;
    const scheduled = buildScheduledRequest(request);
    const tried = new Set<string>();
    const causes = new Set<string>();
    let repeats = 0;
    let refusal = NO_ENDPOINT;
    while (repeats < MAX_REPEATED_ROUNDS) {
      if (request.signal.aborted || tried.size === MAX_POOLS_TRIED) break;
      const pool = directory
        .rankFor(request)
        .find(candidate => !tried.has(candidate.name));
      if (!pool) break;
      const result = await acquireFrom({request, scheduled, pool, service});
      if (result.kind === 'slot') return result.slot;
      if (result.kind === 'moved') {
        onMoved();
        if (causes.has(result.cause)) repeats++;
        causes.add(result.cause);
        continue;
      }
      refusal = result;
      tried.add(pool.name);
      if (FINAL_REASONS.has(refusal.reason)) break;
    }
    return refusal;
  }

  return {acquire: acquireFromPools};
}

/** Without a pace, a load tells the dispatcher nothing, and is not sent. */
function findPacedLoad(load: StatedLoad | undefined): WireLoad | undefined {
  if (load === undefined || load === 'unreadable') return undefined;
  const {pace} = load;
  return pace === undefined ? undefined : {...load, pace};
}
/** Refusals that every other pool of the service would repeat. */
const FINAL_REASONS: ReadonlySet<SlotRefusal['reason']> = new Set([
  'deadline',
  'too-large',
]);

function buildScheduledRequest(request: SlotRequest): ScheduledRequest {
  return {
    id: request.requestId,
    account: request.account,
    weight: request.weight,
    workClass: request.workClass,
    deadline: request.deadline,
    targetAt: request.targetAt,
    startBy: request.startBy,
    dueAt: request.dueAt,
    workMs: request.workMs,
    maxFactor: request.maxFactor,
    promptTokens: request.promptTokens,
    answerTokens: request.answerTokens,
    memoryTokens: request.memoryTokens,
    prefixHashes: request.prefixHashes,
    avoid: request.avoid,
    version: request.version,
  };
}
