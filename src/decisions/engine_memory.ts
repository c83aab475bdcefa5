/**
 * Counts the tokens that requests hold in an endpoint's memory, and decides
 * whether one more request fits.
 *
 * Load pattern: requests of very different sizes, some of them a third of an
 * endpoint's memory. Slots bound the number of requests, not their size. Without this
 * module, a few large requests on one endpoint exceed its memory, the endpoint crashes,
 * and all of its requests are lost.
 *
 * - A request counts from its grant to its end with its prompt and the longest response
 *   that it may generate. What it has generated is part of that sum, also when a stream
 *   resumes, so the sum does not change while it runs.
 * - A request that ended without a complete response counts for LEAVING_MS more, because
 *   its endpoint notices the closed connection only after its dispatcher.
 * - Memory that an endpoint reports beyond what was held there when it measured belongs
 *   to requests of another dispatcher, and counts while the report is fresh.
 * - A dispatcher fills GUARD_SHARE of the memory only for TAKEOVER_GUARD_MS after it first
 *   sees an endpoint, and nothing else then. Another dispatcher may still grant, and it
 *   leaves that part free. After SPLIT_GUARD_MS in a split fleet, all requests that the
 *   other part granted before it noticed the split have ended. Requests so small that
 *   twice all slots of them fit need no guard, and are not delayed by it.
 * - A request whose holder is no longer seen counts until it must have ended, as far as
 *   such requests exceed the part of the memory that is left to unseen instances.
 * - A waiting request may reserve an endpoint; memory_waits.ts decides when.
 */
import {YIELD_TIMEOUT_MS} from './scheduler_constants.js';
import type {
  LoadReport,
  ScheduledRequest,
  SchedulerOutcome,
  WorkClass,
} from './scheduler_types.js';

/** Memory of the endpoints of a service, in tokens. */
export interface MemoryLimit {
  /** Memory of one endpoint. A request that needs more can never run. */
  tokens: number;
  /** The part of it that this dispatcher may fill. */
  shareTokens: number;
  /** Number of requests that the endpoint runs at once for this dispatcher. */
  slots: number;
  /** Whether so many instances are not seen that the fleet is probably split. */
  isSplit?: boolean;
}

/** Time in which an endpoint frees the memory of a request that was cut off, in ms. */
export const LEAVING_MS = 200;

/** Covers the reports that holders send to a new dispatcher every 2 s, in ms. */
export const TAKEOVER_GUARD_MS = 2000;

/** Covers the time until a split is noticed and the longest run after that, in ms. */
export const SPLIT_GUARD_MS = 8000;

/** Share of the memory that is left to a dispatcher which takes over. */
export const GUARD_SHARE = 1 / 8;

/** Longest time that a request of an unseen holder may still run, in ms. */
export const UNSEEN_RUN_MS = 6000;

/** Age from which an endpoint's report is ignored, in ms; reports lag by seconds. */
export const REPORT_FRESH_MS = 4000;

/** Outcomes after which the endpoint holds nothing of the request. */
const FREED_AT_ONCE: ReadonlySet<SchedulerOutcome['kind']> = new Set([
  'answered',
  'refused',
]);

/** A waiting request for which memory of an endpoint is kept free. */
export interface Reservation {
  requestId: string;
  tokens: number;
  workClass: WorkClass;
  /** Time from which it also precedes requests of its own class. */
  strictFrom: number;
}

/** The memory of one endpoint as its dispatcher sees it. Times are in ms. */
export interface EngineMemory {
  reservation?: Reservation;
  /** Counts a request; `isAdopted` if another dispatcher granted it. */
  add(request: ScheduledRequest, isAdopted: boolean, now: number): void;
  release(
    requestId: string,
    outcome: Pick<SchedulerOutcome, 'kind' | 'isUnseen'>,
    now: number,
  ): void;
  /** Records that a request was ordered to yield. */
  markYielding(requestId: string, now: number): void;
  /**
   * Counts the taken tokens that are about to be free: those of requests that left, or
   * were ordered to yield within YIELD_TIMEOUT_MS.
   */
  countFreeSoon(now: number): number;
  noteReport(report: LoadReport, limit: MemoryLimit): void;
  /** Tokens of the requests that hold slots. */
  countHeld(): number;
  /** Tokens that count as taken, without the reservation. */
  countTaken(now: number): number;
  /** Tokens missing for a request; 0 or less if it fits. */
  countMissing(
    request: ScheduledRequest,
    limit: MemoryLimit,
    now: number,
  ): number;
}

/** Counts the tokens that a request holds until its end. */
export function countMemoryTokens({
  memoryTokens,
  promptTokens,
  answerTokens,
}: ScheduledRequest): number {
  return memoryTokens ?? promptTokens + answerTokens;
}

/**
 * Checks a request's size: `too-large` if no endpoint can ever run it, `beyond-share` if
 * only a dispatcher that uses more of the memory can.
 */
export function checkSize(
  request: ScheduledRequest,
  limit: MemoryLimit | undefined,
): 'fits' | 'beyond-share' | 'too-large' {
  if (!limit) return 'fits';
  const tokens = countMemoryTokens(request);
  if (tokens > limit.tokens) return 'too-large';
  return tokens > limit.shareTokens ? 'beyond-share' : 'fits';
}

interface Holding {
  tokens: number;
  /** Whether this dispatcher granted it. */
  isOwn: boolean;
  yieldedAt?: number;
}

/** Creates the state of an endpoint that a dispatcher first sees at `createdAt`. */
export function createEngineMemory(createdAt: number): EngineMemory {
  const holdings = new Map<string, Holding>();
  let held = 0;
  /** The part of `held` that this dispatcher granted. */
  let own = 0;
  let unseen: {tokens: number; until: number}[] = [];
  let leaving: {tokens: number; until: number}[] = [];
  /**
   * Tokens held since a time, oldest first; empty until the endpoint reports its
   * memory, because many never do.
   */
  let history: {since: number; tokens: number}[] = [];
  let foreign = {tokens: 0, until: -Infinity};

  function sumLeaving(now: number): number {
    if (leaving.length === 0) return 0;
    leaving = leaving.filter(({until}) => until > now);
    return leaving.reduce((sum, {tokens}) => sum + tokens, 0);
  }

  /** Tokens of unseen holders beyond the part that is left to them. */
  function countUnseen(
    {tokens, shareTokens}: MemoryLimit,
    now: number,
  ): number {
    if (unseen.length === 0) return 0;
    unseen = unseen.filter(({until}) => until > now);
    const sum = unseen.reduce((total, each) => total + each.tokens, 0);
    return Math.max(0, sum - (tokens - shareTokens));
  }

  function noteChange(now: number) {
    if (history.length === 0) return;
    history.push({since: now, tokens: held + sumLeaving(now)});
    const oldest = now - REPORT_FRESH_MS;
    const kept = history.findLastIndex(({since}) => since <= oldest);
    if (kept > 0) history = history.slice(kept);
  }

  function countReserved({workClass}: ScheduledRequest, now: number): number {
    if (!memory.reservation) return 0;
    const {tokens, workClass: reservedClass, strictFrom} = memory.reservation;
    if (reservedClass !== workClass) return workClass === 'batch' ? tokens : 0;
    return now >= strictFrom ? tokens : 0;
  }

  function countTaken(now: number): number {
    const reported = now < foreign.until ? foreign.tokens : 0;
    return held + reported + sumLeaving(now);
  }

  const memory: EngineMemory = {
    add(request, isAdopted, now) {
      const tokens = countMemoryTokens(request);
      holdings.set(request.id, {tokens, isOwn: !isAdopted});
      held += tokens;
      if (!isAdopted) own += tokens;
      noteChange(now);
    },
    release(requestId, {kind, isUnseen}, now) {
      const holding = holdings.get(requestId);
      if (!holding) return;
      holdings.delete(requestId);
      const {tokens, isOwn} = holding;
      held -= tokens;
      if (isOwn) own -= tokens;
      if (isUnseen) unseen.push({tokens, until: now + UNSEEN_RUN_MS});
      else if (!FREED_AT_ONCE.has(kind)) {
        leaving.push({tokens, until: now + LEAVING_MS});
      }
      noteChange(now);
    },
    markYielding(requestId, now) {
      const holding = holdings.get(requestId);
      if (holding) holding.yieldedAt ??= now;
    },
    countFreeSoon(now) {
      let tokens = sumLeaving(now);
      for (const {yieldedAt = -Infinity, tokens: each} of holdings.values()) {
        if (yieldedAt > now - YIELD_TIMEOUT_MS) tokens += each;
      }
      return tokens;
    },
    noteReport({at, cacheUsage}, {tokens}) {
      if (!Number.isFinite(cacheUsage)) return;
      if (history.length === 0) {
        history = [{since: -Infinity, tokens: held + sumLeaving(at)}];
      }
      const known = history.findLast(({since}) => since <= at) ?? history[0];
      const excess = cacheUsage * tokens - known.tokens;
      foreign = {tokens: Math.max(0, excess), until: at + REPORT_FRESH_MS};
    },
    countHeld: () => held,
    countTaken,
    countMissing(request, limit, now) {
      const {shareTokens} = limit;
      const {reservation} = memory;
      const isReserved = reservation?.requestId === request.id;
      const reserved = isReserved ? 0 : countReserved(request, now);
      const tokens = countMemoryTokens(request);
      const taken = countTaken(now) + countUnseen(limit, now) + reserved;
      const guardMs = limit.isSplit ? SPLIT_GUARD_MS : TAKEOVER_GUARD_MS;
      const isSmall = 2 * limit.slots * tokens <= shareTokens;
      if (!isSmall && now < createdAt + guardMs) {
        const missingOfOwn = own + tokens - shareTokens * GUARD_SHARE;
        return Math.max(missingOfOwn, taken + tokens - shareTokens);
      }
      const usable = shareTokens * (1 - GUARD_SHARE);
      // A request that needs more runs there alone.
      return tokens > usable ? taken : taken + tokens - usable;
    },
  };
  return memory;
}
