/**
 * Orders waiting requests: fair shares of client accounts by weight, and the
 * earliest deadline first within an account.
 *
 * Load pattern: one account sends several times as many requests as the others.
 * In a single queue its requests stand before all others, and the other
 * accounts get their first tokens as late as it does. With fair shares, an
 * account waits only behind its own excess.
 *
 * The virtual time of an account is the work it was granted divided by its
 * weight. The account with the smallest virtual time is next. An account that
 * returns after a pause starts at the current virtual time, so that it cannot
 * accumulate turns.
 */
import {Heap} from 'heap-js';
import type {ScheduledRequest} from './scheduler_types.js';

/**
 * Removed entries beyond the live ones that a heap holds before it is rebuilt.
 */
const SLACK = 64;

interface Entry {
  request: ScheduledRequest;
  cost: number;
  order: number;
  removed: boolean;
}

interface AccountQueue {
  weight: number;
  virtualTime: number;
  entries: Heap<Entry>;
  size: number;
}

/** Reads the load of the account of a request. */
export type LoadReader = (request: ScheduledRequest) => number;

/** Waiting requests of one work class. */
export interface FairQueue {
  /** Adds a request; `cost` is its work, in any unit common to all requests. */
  push(request: ScheduledRequest, cost: number): void;
  has(id: string): boolean;
  /**
   * Returns the next request, leaving out accounts in `skipped`. With
   * `getLoad`, the account with the least load is next; accounts of equal load
   * are in order of virtual time.
   */
  peek(
    skipped?: ReadonlySet<string>,
    getLoad?: LoadReader,
  ): ScheduledRequest | undefined;
  /** Returns the next request of each account. */
  listHeads(): ScheduledRequest[];
  /** Returns the next request of one account. */
  peekOf(account: string): ScheduledRequest | undefined;
  /** Removes a request and charges its account for the work. */
  take(id: string): ScheduledRequest | undefined;
  /** Removes a request that will not run; its account is not charged. */
  remove(id: string): ScheduledRequest | undefined;
  /** Removes and returns the requests whose deadline is at or before `now`. */
  takeExpired(now: number): ScheduledRequest[];
  count(): number;
  countWhere(condition: (request: ScheduledRequest) => boolean): number;
  /** Estimates the queue position of a new request of this account. */
  computePosition(account: string, weight: number): number;
  /**
   * Estimates its position in order of slots held per weight; `countHeld`
   * returns the slots that an account holds.
   */
  computePositionBySlots(
    account: string,
    weight: number,
    countHeld: (account: string) => number,
  ): number;
  /** Returns the number of waiting requests by account. */
  describe(): Record<string, number>;
}

/** Compares by due time, or by deadline for requests without a due time. */
function compareEntries(a: Entry, b: Entry): number {
  return getOrder(a) - getOrder(b) || a.order - b.order;
}

function getOrder({request: {dueAt, deadline}}: Entry): number {
  return dueAt ?? deadline;
}

function compareExpiry(a: Entry, b: Entry): number {
  return a.request.deadline - b.request.deadline;
}

/** Creates an empty queue; without shares, all accounts are treated as one. */
export function createFairQueue(hasShares = true): FairQueue {
  const accounts = new Map<string, AccountQueue>();
  const entries = new Map<string, Entry>();
  let expiry = new Heap<Entry>(compareExpiry);
  let order = 0;
  let virtualNow = 0;

  const getQueueName = (account: string) => (hasShares ? account : '');

  function getOrCreateAccount(request: ScheduledRequest): AccountQueue {
    const {weight} = request;
    const account = getQueueName(request.account);
    const held = accounts.get(account);
    if (held) {
      held.weight = weight;
      return held;
    }
    const created: AccountQueue = {
      weight,
      virtualTime: virtualNow,
      entries: new Heap<Entry>(compareEntries),
      size: 0,
    };
    accounts.set(account, created);
    return created;
  }

  function peekEntry(queue: AccountQueue): Entry | undefined {
    while (queue.entries.peek()?.removed) queue.entries.pop();
    return queue.entries.peek();
  }

  function peekByLoad(
    getLoad: LoadReader,
    skipped?: ReadonlySet<string>,
  ): ScheduledRequest | undefined {
    let next: ScheduledRequest | undefined;
    let least = Infinity;
    let earliest = Infinity;
    for (const [name, queue] of accounts) {
      if (queue.size === 0 || skipped?.has(name)) continue;
      const {request} = peekEntry(queue)!;
      const load = getLoad(request);
      const {virtualTime} = queue;
      if (load > least || (load === least && virtualTime >= earliest)) continue;
      next = request;
      least = load;
      earliest = virtualTime;
    }
    return next;
  }

  function removeEntry(id: string): Entry | undefined {
    const entry = entries.get(id);
    if (!entry) return undefined;
    entry.removed = true;
    entries.delete(id);
    const queue = accounts.get(getQueueName(entry.request.account))!;
    queue.size--;
    if (queue.entries.length > 2 * queue.size + SLACK) {
      queue.entries = buildHeap(queue.entries, compareEntries);
    }
    if (expiry.length > 2 * entries.size + SLACK) {
      expiry = buildHeap(expiry, compareExpiry);
    }
    return entry;
  }

  /**
   * Removes idle accounts that would start at the current virtual time anyway.
   */
  function removeIdleAccounts() {
    for (const [name, queue] of accounts) {
      if (queue.size === 0 && queue.virtualTime <= virtualNow) {
        accounts.delete(name);
      }
    }
  }

  return {
    push(request, cost) {
      const queue = getOrCreateAccount(request);
      if (queue.size === 0) {
        queue.virtualTime = Math.max(queue.virtualTime, virtualNow);
      }
      const entry: Entry = {request, cost, order: order++, removed: false};
      entries.set(request.id, entry);
      queue.entries.push(entry);
      queue.size++;
      expiry.push(entry);
    },
    has: id => entries.has(id),
    peek(skipped, getLoad) {
      if (getLoad) return peekByLoad(getLoad, skipped);
      let next: AccountQueue | undefined;
      for (const [name, queue] of accounts) {
        if (queue.size === 0 || skipped?.has(name)) continue;
        if (!next || queue.virtualTime < next.virtualTime) next = queue;
      }
      return next && peekEntry(next)?.request;
    },
    listHeads: () =>
      [...accounts.values()]
        .map(queue => peekEntry(queue)?.request)
        .filter(request => request !== undefined),
    peekOf(account) {
      const queue = accounts.get(getQueueName(account));
      return queue && peekEntry(queue)?.request;
    },
    take(id) {
      const entry = removeEntry(id);
      if (!entry) return undefined;
      const queue = accounts.get(getQueueName(entry.request.account))!;
      virtualNow = Math.max(virtualNow, queue.virtualTime);
      queue.virtualTime += entry.cost / queue.weight;
      if (queue.size === 0) removeIdleAccounts();
      return entry.request;
    },
    remove: id => removeEntry(id)?.request,
    takeExpired(now) {
      const expired: ScheduledRequest[] = [];
      for (let next = expiry.peek(); next; next = expiry.peek()) {
        if (!next.removed && next.request.deadline > now) break;
        expiry.pop();
        if (!next.removed) expired.push(removeEntry(next.request.id)!.request);
      }
      return expired;
    },
    count: () => entries.size,
    countWhere(condition) {
      let count = 0;
      for (const {request} of entries.values()) {
        if (condition(request)) count++;
      }
      return count;
    },
    computePosition(owner, weight) {
      const account = getQueueName(owner);
      const turns = (accounts.get(account)?.size ?? 0) + 1;
      let before = turns;
      for (const [name, queue] of accounts) {
        if (name === account) continue;
        before += Math.min(queue.size, (turns * queue.weight) / weight);
      }
      return before;
    },
    computePositionBySlots(owner, weight, countHeld) {
      const account = getQueueName(owner);
      const size = accounts.get(account)?.size ?? 0;
      const level = (countHeld(account) + size) / weight;
      let before = size + 1;
      for (const [name, queue] of accounts) {
        if (name === account || queue.size === 0) continue;
        const room = Math.ceil(level * queue.weight) - countHeld(name);
        before += Math.min(queue.size, Math.max(0, room));
      }
      return before;
    },
    describe: () =>
      Object.fromEntries([...accounts].map(([name, {size}]) => [name, size])),
  };
}

function buildHeap(
  old: Heap<Entry>,
  compare: (a: Entry, b: Entry) => number,
): Heap<Entry> {
  const heap = new Heap<Entry>(compare);
  heap.init(old.toArray().filter(entry => !entry.removed));
  return heap;
}
