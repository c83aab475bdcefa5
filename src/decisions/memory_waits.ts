/**
 * Keeps the requests that wait for memory of an endpoint while slots are free, and
 * decides which endpoint each of them reserves.
 *
 * Load pattern: large requests among many small ones. If a large request waited at the
 * head of its queue, all small ones behind it would wait although they fit. If small
 * ones always went first, they would take each piece of memory that becomes free, and
 * the large one would never start.
 *
 * - A request that lacks only memory leaves its queue, and its account is charged as if
 *   it had started. Others may start before it for RESERVE_AFTER_MS.
 * - The oldest of these requests reserve an endpoint each: the one that can be free
 *   soonest. From then on, nothing starts in the memory that a request reserved. At most
 *   MAX_RESERVED_SHARE of the endpoints are reserved for each work class.
 * - Accounts take turns: no account has a second reservation while another that waits has
 *   none, and MAX_ACCOUNT_SHARE bounds the requests of one account that left its queue.
 * - Online requests come before batch items here too: items never use memory reserved
 *   for an online request, items on its endpoint yield as soon as it is urgent and that
 *   makes enough room, and no item's reservation stops an online request.
 */
import {sortForYield} from './batch_order.js';
import {isUrgent} from './batch_pacing.js';
import {
  isMemoryMissing,
  selectCandidates,
  type ChoiceContext,
} from './endpoint_choice.js';
import type {EndpointTracker, HeldSlot} from './endpoint_tracker.js';
import {countMemoryTokens, LEAVING_MS} from './engine_memory.js';
import type {ScheduledRequest, WorkClass} from './scheduler_types.js';
import type {WaitingQueues} from './waiting_queues.js';

/** Time for which requests may overtake one that waits for memory, in ms. */
export const RESERVE_AFTER_MS = 500;

/** Maximum share of the endpoints reserved for one work class at once. */
export const MAX_RESERVED_SHARE = 0.25;

/**
 * Requests of one class that wait here, at least and for each endpoint. The rest waits
 * in fair order in its queue.
 */
const MIN_PARKED = 4;

/** Maximum share of the requests that wait here for one account. */
const MAX_ACCOUNT_SHARE = 0.25;

interface Wait {
  request: ScheduledRequest;
  since: number;
  reserved?: EndpointTracker;
}

/** Requests that wait for memory, in the order in which they began to. */
export interface MemoryWaits {
  has(requestId: string): boolean;
  /**
   * Takes a request that lacks only memory out of its queue; returns whether it did.
   */
  park(
    request: ScheduledRequest,
    candidates: readonly EndpointTracker[],
    now: number,
  ): boolean;
  /** Returns the request if it waited. */
  remove(requestId: string): ScheduledRequest | undefined;
  list(workClass: WorkClass): ScheduledRequest[];
  listAll(): ScheduledRequest[];
  /** Removes and returns the requests whose deadline is at or before `now`. */
  takeExpired(now: number): ScheduledRequest[];
  /** Assigns endpoints to the oldest requests of each class. */
  reserve(open: readonly EndpointTracker[], now: number): void;
  /** Selects the items that must yield memory to online requests. */
  selectYields(now: number): HeldSlot[];
  /** Returns the number of requests that began to wait since the last call. */
  takeCount(): number;
  describe(now: number): object;
}

/** Creates an empty set. */
export function createMemoryWaits(
  context: ChoiceContext,
  queues: Pick<WaitingQueues, 'take'>,
): MemoryWaits {
  const waits = new Map<string, Wait>();
  const counts: Record<WorkClass, number> = {online: 0, batch: 0};
  let began = 0;

  function releaseReservation(wait: Wait) {
    const memory = wait.reserved?.memory;
    const isOwn = memory?.reservation?.requestId === wait.request.id;
    if (memory && isOwn) memory.reservation = undefined;
    wait.reserved = undefined;
  }

  function remove(requestId: string): ScheduledRequest | undefined {
    const wait = waits.get(requestId);
    if (!wait) return undefined;
    waits.delete(requestId);
    counts[wait.request.workClass]--;
    releaseReservation(wait);
    return wait.request;
  }

  /** Lists the waits of a class: the oldest of each account, then the second ones. */
  function listWaits(workClass: WorkClass): Wait[] {
    if (counts[workClass] === 0) return [];
    const turns = new Map<string, number>();
    const ranked: {wait: Wait; turn: number}[] = [];
    for (const wait of waits.values()) {
      const {account, workClass: ownClass} = wait.request;
      if (ownClass !== workClass) continue;
      const turn = turns.get(account) ?? 0;
      turns.set(account, turn + 1);
      ranked.push({wait, turn});
    }
    ranked.sort((a, b) => a.turn - b.turn);
    return ranked.map(({wait}) => wait);
  }

  /** Whether one more request of an account may leave its queue. */
  function hasRoomFor(
    {account, workClass}: ScheduledRequest,
    endpoints: number,
  ): boolean {
    const most = Math.max(MIN_PARKED, endpoints);
    if (counts[workClass] >= most) return false;
    const ofAccount = listWaits(workClass).filter(
      ({request}) => request.account === account,
    );
    return ofAccount.length < Math.ceil(most * MAX_ACCOUNT_SHARE);
  }

  /** Tokens that stay on an endpoint after every item that may yield has left. */
  function countLasting(
    tracker: EndpointTracker,
    workClass: WorkClass,
    now: number,
  ): number {
    const taken = tracker.memory.countTaken(now);
    return workClass === 'batch' ? taken : taken - sumYieldable(tracker);
  }

  function chooseReserved(
    {request}: Wait,
    open: readonly EndpointTracker[],
    now: number,
  ): EndpointTracker | undefined {
    const {workClass} = request;
    const free = selectCandidates(open, request).filter(({memory}) => {
      const holder = memory.reservation?.workClass;
      return !holder || (holder === 'batch' && workClass === 'online');
    });
    const {warmUp} = context.limits;
    const warm = warmUp
      ? free.filter(tracker => !tracker.warmUp.isCold(warmUp, now))
      : free;
    let chosen: EndpointTracker | undefined;
    let least = Infinity;
    for (const tracker of warm.length > 0 ? warm : free) {
      const lasting = countLasting(tracker, workClass, now);
      if (lasting >= least) continue;
      chosen = tracker;
      least = lasting;
    }
    return chosen;
  }

  function reserveFor(
    wait: Wait,
    open: readonly EndpointTracker[],
    now: number,
  ) {
    const {request, since, reserved} = wait;
    const isKept =
      reserved?.memory.reservation?.requestId === request.id &&
      open.includes(reserved);
    if (isKept) return;
    releaseReservation(wait);
    const chosen = chooseReserved(wait, open, now);
    if (!chosen) return;
    wait.reserved = chosen;
    chosen.memory.reservation = {
      requestId: request.id,
      tokens: countMemoryTokens(request),
      workClass: request.workClass,
      strictFrom: since + RESERVE_AFTER_MS,
    };
  }

  function selectYieldsOf({request, since, reserved}: Wait, now: number) {
    const {limits, latency} = context;
    if (!reserved || !limits.memory) return [];
    // Memory is free only LEAVING_MS after an item left, unlike its slot.
    const neededMs =
      LEAVING_MS + latency.estimateFirstByte(request.promptTokens);
    const isDue =
      now >= since + RESERVE_AFTER_MS ||
      isUrgent(request.targetAt, neededMs, now);
    const missing =
      reserved.memory.countMissing(request, limits.memory, now) -
      reserved.memory.countFreeSoon(now);
    if (!isDue || missing <= 0 || missing > sumYieldable(reserved)) return [];
    const meanMs = latency.getMeanTotal('batch');
    const selected: HeldSlot[] = [];
    let freed = 0;
    for (const item of sortForYield(reserved.listYieldable(), meanMs, now)) {
      if (freed >= missing) break;
      freed += countMemoryTokens(item.request);
      selected.push(item);
    }
    return selected;
  }

  return {
    has: requestId => waits.has(requestId),
    park(request, candidates, now) {
      if (!isMemoryMissing(candidates, request, context, now)) return false;
      if (!hasRoomFor(request, candidates.length)) return false;
      queues.take(request);
      waits.set(request.id, {request, since: now});
      counts[request.workClass]++;
      began++;
      return true;
    },
    remove,
    list: workClass => listWaits(workClass).map(({request}) => request),
    listAll: () => [...waits.values()].map(({request}) => request),
    takeExpired(now) {
      if (waits.size === 0) return [];
      const expired = [...waits.values()]
        .map(({request}) => request)
        .filter(({deadline}) => deadline <= now);
      for (const {id} of expired) remove(id);
      return expired;
    },
    reserve(open, now) {
      if (waits.size === 0) return;
      const most = Math.max(1, Math.floor(open.length * MAX_RESERVED_SHARE));
      for (const workClass of ['online', 'batch'] as const) {
        const ordered = listWaits(workClass);
        ordered.slice(most).forEach(releaseReservation);
        for (const wait of ordered.slice(0, most)) reserveFor(wait, open, now);
      }
    },
    selectYields: now =>
      listWaits('online').flatMap(wait => selectYieldsOf(wait, now)),
    takeCount() {
      const count = began;
      began = 0;
      return count;
    },
    describe: now =>
      [...waits.values()].map(({request, since, reserved}) => ({
        account: request.account,
        workClass: request.workClass,
        tokens: countMemoryTokens(request),
        waitedMs: now - since,
        reserved: reserved?.description.address,
      })),
  };
}

function sumYieldable(tracker: EndpointTracker): number {
  return tracker
    .listYieldable()
    .reduce((sum, {request}) => sum + countMemoryTokens(request), 0);
}
