/**
 * Tracks what each account holds, asks and gets in one pool, and decides which
 * account is next while accounts compete.
 *
 * Load pattern: one account sends 8 times its rate for seconds while the pool
 * is full, or keeps slots with responses several times as long as the others'.
 * Shares by the number of requests charge an account the same for a long
 * response as for a short one, and a dispatcher that has just taken over does
 * not know what was charged, so that accounts within their share wait behind
 * the one that exceeds its own.
 *
 * While accounts compete, the account with the fewest slots per weight is next.
 * Slots are work in progress: they need no history, and a dispatcher that
 * adopts slots knows the shares at once. An account that got less than
 * FLOOR_RATIO of what all got goes first, so that no rank and no size of an
 * account shuts it out. Accounts compete while their weights differ and after a
 * refusal for overload; otherwise the order of fair_queue.ts holds. Online
 * requests and batch items are counted apart.
 *
 * A request that holds more of an endpoint's memory than of its slots counts as the
 * slots of that part of the memory. Otherwise an account of large requests holds few
 * slots, is next each time, and takes the memory of all others.
 */
import {
  COMPETITION_MS,
  MIN_FLOOR_REQUESTS,
  SERVED_FLOOR,
  SERVED_WINDOW_MS,
  SMALL_POOL_SLOTS,
} from './scheduler_constants.js';
import {createServedWindow, type ServedSummary} from './served_window.js';
import type {
  RefusalReason,
  ScheduledRequest,
  WorkClass,
} from './scheduler_types.js';

/** Who competes for a slot. */
export type Competitor = Pick<
  ScheduledRequest,
  'account' | 'weight' | 'workClass'
>;

/** Whether accounts compete, and how evenly they were served. */
export interface ShareSummary extends ServedSummary {
  isCompeting: boolean;
}

/** The accounts of one pool. */
export interface AccountShares {
  /**
   * Counts a slot, or the `slots` whose part of the memory the request holds;
   * `isAdopted` if another dispatcher granted it.
   */
  noteGranted(
    request: Competitor,
    now: number,
    options?: {slots?: number; isAdopted?: boolean},
  ): void;
  noteReleased(request: Competitor, slots?: number): void;
  noteRefused(request: Competitor, reason: RefusalReason, now: number): void;
  /**
   * Records that a waiting request was cancelled. At its `startBy` that is a
   * refusal: its instance tells the caller to retry.
   */
  noteCancelled(
    request: Competitor & Pick<ScheduledRequest, 'startBy'>,
    now: number,
  ): void;
  /** Records the weight with which a request asks. */
  noteAsked(request: Competitor, now: number): void;
  /** Whether accounts compete, so that slots held decide the order. */
  isCompeting(now: number): boolean;
  /** Slots that the account holds in the class. */
  countHeld(request: Omit<Competitor, 'weight'>): number;
  /** Slots held per weight; below 0 for an account below the floor. */
  getLoad(request: Competitor, now: number): number;
  /**
   * Whether the account must leave the last of `slots` to accounts that were
   * served less; only in small pools, which are parts of a pool.
   */
  isThrottled(request: Competitor, slots: number, now: number): boolean;
  /** Mean time between two slots that the account got, in ms. */
  getServiceInterval(request: Competitor, now: number): number;
  summarize(now: number): ShareSummary;
  describe(now: number): object;
}

/** Weight and time with which an account asked last. */
interface Asking {
  weight: number;
  at: number;
}

/** Creates shares without accounts. */
export function createAccountShares(): AccountShares {
  const held: Record<WorkClass, Map<string, number>> = {
    online: new Map(),
    batch: new Map(),
  };
  const served = createServedWindow();
  const asked: Record<WorkClass, Map<string, Asking>> = {
    online: new Map(),
    batch: new Map(),
  };
  let sweptAt = -Infinity;
  let differing = false;
  let onlineHeld = 0;
  let refusedAt = -Infinity;

  function addHeld({account, workClass}: Competitor, change: number) {
    if (workClass === 'online') onlineHeld += change;
    const counts = held[workClass];
    const count = (counts.get(account) ?? 0) + change;
    if (count > ROUNDING_ERROR) counts.set(account, count);
    else counts.delete(account);
  }

  function countHeld({account, workClass}: Omit<Competitor, 'weight'>) {
    return held[workClass].get(account) ?? 0;
  }

  function countRecent({account, workClass}: Competitor, now: number) {
    return workClass === 'online' ? served.count(account, now).served : 0;
  }

  /** Evicts accounts that have not asked lately, once a second. */
  function evictIdleAccounts(now: number) {
    if (now - sweptAt < SWEEP_MS) return;
    sweptAt = now;
    for (const accounts of Object.values(asked)) {
      for (const [account, {at}] of accounts) {
        if (now - at > COMPETITION_MS) accounts.delete(account);
      }
    }
    differing = Object.values(asked).some(hasDifferentWeights);
  }

  function isBelowFloor({account, workClass}: Competitor, now: number) {
    if (workClass === 'batch') return false;
    const own = served.count(account, now);
    if (own.ended < MIN_FLOOR_REQUESTS) return false;
    const all = served.countAll(now);
    return own.served * all.ended < SERVED_FLOOR * all.served * own.ended;
  }

  function sumWeights(): number {
    let weights = 0;
    for (const {weight} of asked.online.values()) weights += weight;
    return weights;
  }

  /** Mean of the requests served lately, per weight of the accounts asking. */
  function computeMeanRecent(now: number): number {
    const weights = sumWeights();
    return weights === 0 ? Infinity : served.countAll(now).served / weights;
  }

  /** Whether the account holds its share, so that it is served less by its own excess. */
  function hasItsShare(request: Competitor): boolean {
    const share = (onlineHeld * request.weight) / Math.max(1, sumWeights());
    return countHeld(request) > share;
  }

  function isCompeting(now: number): boolean {
    return now - refusedAt <= COMPETITION_MS || differing;
  }

  function noteUnserved({account, workClass}: Competitor, now: number) {
    refusedAt = now;
    if (workClass === 'online') served.note(account, false, now);
  }

  function summarize(now: number): ShareSummary {
    return {isCompeting: isCompeting(now), ...served.summarize(now)};
  }

  return {
    noteGranted(request, now, {slots = 1, isAdopted = false} = {}) {
      addHeld(request, slots);
      if (request.workClass === 'batch' || isAdopted) return;
      served.note(request.account, true, now);
    },
    noteReleased: (request, slots = 1) => addHeld(request, -slots),
    noteRefused(request, reason, now) {
      if (reason !== 'no-endpoint') noteUnserved(request, now);
    },
    noteCancelled(request, now) {
      const {startBy = Infinity} = request;
      if (now >= startBy - START_SLACK_MS) noteUnserved(request, now);
    },
    noteAsked({account, weight, workClass}, now) {
      const others = asked[workClass];
      const isOther = others.size > 0 && others.get(account)?.weight !== weight;
      others.set(account, {weight, at: now});
      if (isOther) differing ||= hasDifferentWeights(others);
      evictIdleAccounts(now);
    },
    isThrottled(request, slots, now) {
      if (slots >= SMALL_POOL_SLOTS || onlineHeld < slots - 1) return false;
      const recent = countRecent(request, now);
      return recent / request.weight >= computeMeanRecent(now);
    },
    isCompeting,
    countHeld,
    getLoad(request, now) {
      const held = countHeld(request);
      const load = held + RECENT_SHARE * countRecent(request, now);
      const goesFirst = isBelowFloor(request, now) && !hasItsShare(request);
      const floor = goesFirst ? BELOW_FLOOR : 0;
      return load / request.weight - floor;
    },
    getServiceInterval: ({account}, now) =>
      SERVED_WINDOW_MS / Math.max(1, served.count(account, now).served),
    summarize,
    describe: now => ({
      ...summarize(now),
      throttled: served.listRefused(now),
    }),
  };
}

/** Orders accounts that hold equally many slots; less than one slot in all. */
const RECENT_SHARE = 1e-6;
/** Larger than the error of sums of parts of slots. */
const ROUNDING_ERROR = 1e-9;
/** More than any account can hold. */
const BELOW_FLOOR = 1e6;

/**
 * How much before its `startBy` a cancelled request counts as refused: the
 * times of instances differ by what a message takes.
 */
const START_SLACK_MS = 50;
/** Interval at which accounts that stopped asking are removed. */
const SWEEP_MS = 1000;

function hasDifferentWeights(accounts: ReadonlyMap<string, Asking>): boolean {
  const weights = [...accounts.values()].map(({weight}) => weight);
  return weights.some(weight => weight !== weights[0]);
}
