/**
 * The order in which waiting requests get slots: fair shares of client
 * accounts by weight, and within an account the earliest deadline first.
 *
 * Pattern of load: one account sends several times what the others do. In one
 * queue its requests stand before everyone's, and the others' first tokens are
 * as late as its own; by shares, an account waits only behind its own work.
 *
 * Virtual time of an account is the work it was given divided by its weight;
 * the account with the least is next. One that comes back after a pause starts
 * at the least of those waiting, so that it cannot save up turns.
 */
import {Heap} from 'heap-js';
import type {ScheduledRequest} from './scheduler_types.js';

/** Removed entries may outnumber live ones by this before a heap is rebuilt. */
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

/** Waiting requests of one work class. */
export interface FairQueue {
  /** `cost` is the work it asks for, in any unit common to all. */
  push(request: ScheduledRequest, cost: number): void;
  has(id: string): boolean;
  /** Next in turn among accounts not in `skipped`. */
  peek(skipped?: ReadonlySet<string>): ScheduledRequest | undefined;
  /** The next request of each account that waits. */
  listHeads(): ScheduledRequest[];
  /** The next request of one account. */
  peekOf(account: string): ScheduledRequest | undefined;
  /** Takes a request out and charges its account for it. */
  take(id: string): ScheduledRequest | undefined;
  /** Takes a request out without charge: it will not run. */
  remove(id: string): ScheduledRequest | undefined;
  /** Takes out those whose deadline is at or before `now`. */
  takeExpired(now: number): ScheduledRequest[];
  count(): number;
  countWhere(condition: (request: ScheduledRequest) => boolean): number;
  /** How many requests would be served before a new one of this account. */
  computePosition(account: string, weight: number): number;
  /** Requests waiting by account. */
  describe(): Record<string, number>;
}

/** By the time at which a batch item is due, else by deadline. */
function compareEntries(a: Entry, b: Entry): number {
  return getOrder(a) - getOrder(b) || a.order - b.order;
}

function getOrder({request: {dueAt, deadline}}: Entry): number {
  return dueAt ?? deadline;
}

function compareExpiry(a: Entry, b: Entry): number {
  return a.request.deadline - b.request.deadline;
}

/** Starts empty; without shares, all accounts are one. */
export function createFairQueue(hasShares = true): FairQueue {
  const accounts = new Map<string, AccountQueue>();
  const entries = new Map<string, Entry>();
  let expiry = new Heap<Entry>(compareExpiry);
  let order = 0;
  let virtualNow = 0;

  const nameQueue = (account: string) => (hasShares ? account : '');

  function openAccount(request: ScheduledRequest): AccountQueue {
    const {weight} = request;
    const account = nameQueue(request.account);
    const held = accounts.get(account);
    if (held) {
      held.weight = weight;
      return held;
    }
    const made: AccountQueue = {
      weight,
      virtualTime: virtualNow,
      entries: new Heap<Entry>(compareEntries),
      size: 0,
    };
    accounts.set(account, made);
    return made;
  }

  function peekEntry(queue: AccountQueue): Entry | undefined {
    while (queue.entries.peek()?.removed) queue.entries.pop();
    return queue.entries.peek();
  }

  function removeEntry(id: string): Entry | undefined {
    const entry = entries.get(id);
    if (!entry) return undefined;
    entry.removed = true;
    entries.delete(id);
    const queue = accounts.get(nameQueue(entry.request.account))!;
    queue.size--;
    if (queue.entries.length > 2 * queue.size + SLACK) {
      queue.entries = buildHeap(queue.entries, compareEntries);
    }
    if (expiry.length > 2 * entries.size + SLACK) {
      expiry = buildHeap(expiry, compareExpiry);
    }
    return entry;
  }

  /** Drops what is idle and behind: it would start at the present anyway. */
  function removeIdleAccounts() {
    for (const [name, queue] of accounts) {
      if (queue.size === 0 && queue.virtualTime <= virtualNow) {
        accounts.delete(name);
      }
    }
  }

  return {
    push(request, cost) {
      const queue = openAccount(request);
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
    peek(skipped) {
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
      const queue = accounts.get(nameQueue(account));
      return queue && peekEntry(queue)?.request;
    },
    take(id) {
      const entry = removeEntry(id);
      if (!entry) return undefined;
      const queue = accounts.get(nameQueue(entry.request.account))!;
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
      const account = nameQueue(owner);
      const turns = (accounts.get(account)?.size ?? 0) + 1;
      let before = turns;
      for (const [name, queue] of accounts) {
        if (name === account) continue;
        before += Math.min(queue.size, (turns * queue.weight) / weight);
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
