/**
 * The way of one request to a slot: its pools in turn, of each the dispatcher
 * that ranks first, and without one this instance's own share.
 */
import type {Counter} from 'prom-client';
import type {Clock} from '../../common/clock.js';
import type {ScheduledRequest} from '../../decisions/scheduler_types.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import type {SelfDescription} from '../members/members.js';
import {MAX_POOLS_TRIED, MAX_SLOT_ROUNDS} from './constants.js';
import type {Slot, SlotOutcome, SlotRequest, SlotWay} from './dispatch.js';
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

/** What the way leads through. */
export interface SlotAcquirerDependencies {
  clock: Clock;
  self: SelfDescription;
  held: HeldSlots;
  directory: PoolDirectory;
  remote: RemoteDispatchers;
  /** Pools that this instance dispatches for. */
  pools: PoolTable;
  /** Its share of pools whose dispatcher is silent. */
  lone: PoolTable;
  /** Counts slots by class and way. */
  grants: Counter;
  /** Whether this instance no longer hears which endpoints come and go. */
  isBlind: () => boolean;
  /** Told when a dispatcher sent a request to the next one. */
  onMoved: () => void;
}

/** Finds slots. */
export interface SlotAcquirer {
  acquire(request: SlotRequest): Promise<Slot | SlotRefusal>;
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
  /** As its dispatcher has it listed. */
  listed?: ListedInstance;
  /** Peer address of the dispatcher; undefined when decided alone. */
  dispatcher?: string;
  way: SlotWay;
  giveBack: (outcome: SlotOutcome) => void;
  /** Tells the dispatcher; absent when there is none. */
  noteFirstByte?: (firstByteMs: number) => void;
}

type AttemptResult =
  {kind: 'slot'; slot: Slot} | Exclude<SlotAnswer, {kind: 'granted'}>;

/** Follows the directory from one request to the next. */
export function createSlotAcquirer({
  clock,
  self,
  held,
  directory,
  remote,
  pools,
  lone,
  grants,
  isBlind,
  onMoved,
}: SlotAcquirerDependencies): SlotAcquirer {
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
    const {request, scheduled, pool, service} = attempt;
    // As listed now: the request may have waited for longer than an endpoint
    // that has left may still be given work.
    const own = directory.findEndpoint(service, pool.name, grant.endpoint);
    // An instance that hears no news of endpoints believes its dispatcher.
    const endpoint = own ?? (isBlind() ? grant.listed : undefined);
    if (!endpoint || request.signal.aborted) {
      grant.giveBack({kind: 'cancelled', tokens: 0});
      if (endpoint) return NO_ENDPOINT;
      // The endpoint has just left, or this instance has not heard of it yet;
      // its dispatcher may not know that for long, and must choose another.
      scheduled.avoid = [...scheduled.avoid, grant.endpoint];
      return {kind: 'moved'};
    }
    const yieldSignal = held.add({
      service,
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
    const {noteFirstByte, way} = grant;
    return {
      kind: 'slot',
      slot: {endpoint, way, yieldSignal, release, noteFirstByte},
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
      listed: answer.listed,
      dispatcher: address,
      way: 'remote',
      giveBack: outcome =>
        remote.release(address, pool.name, scheduled.id, outcome),
      noteFirstByte: firstByteMs =>
        remote.noteFirstByte(address, pool.name, scheduled.id, firstByteMs),
    });
  }

  async function acquireFrom(attempt: Attempt): Promise<AttemptResult> {
    const {pool, service} = attempt;
    if (remote.isCutOff(clock.now())) return acquireAlone(attempt);
    const address = directory.findDispatcher(pool);
    if (address === self.address) {
      return acquireHere(pools.open(service, pool.name), attempt, 'own');
    }
    try {
      return await acquireRemote(address, attempt);
    } catch (error) {
      if (!(error instanceof DispatcherSilentError)) throw error;
      // The next one is asked: it learns from all others what runs, and can
      // make items way. Alone, each instance would have its share of slots that
      // batch work holds until somebody stops it.
      return MOVED;
    }
  }

  async function acquireAlone(attempt: Attempt): Promise<AttemptResult> {
    const {pool, service, request} = attempt;
    if (request.workClass === 'batch') return NO_DISPATCHER;
    return acquireHere(lone.open(service, pool.name), attempt, 'alone');
  }

  /** Tries pools in turn until one gives a slot. */
  async function acquireFromPools(
    request: SlotRequest,
  ): Promise<Slot | SlotRefusal> {
    const {service} = request;
    const scheduled = buildScheduledRequest(request);
    const tried = new Set<string>();
    let refusal = NO_ENDPOINT;
    for (let round = 0; round < MAX_SLOT_ROUNDS; round++) {
      if (tried.size === MAX_POOLS_TRIED) break;
      const pool = directory
        .rankFor(request)
        .find(candidate => !tried.has(candidate.name));
      if (!pool) break;
      const result = await acquireFrom({request, scheduled, pool, service});
      if (result.kind === 'slot') return result.slot;
      if (result.kind === 'moved') {
        onMoved();
        continue;
      }
      refusal = result;
      tried.add(pool.name);
      if (refusal.reason === 'deadline') break;
    }
    return refusal;
  }

  return {acquire: acquireFromPools};
}

const MOVED: AttemptResult = {kind: 'moved'};

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
    promptTokens: request.promptTokens,
    answerTokens: request.answerTokens,
    prefixHashes: request.prefixHashes,
    avoid: request.avoid,
  };
}
