/**
 * The requests that wait for a slot of one pool: online ones that can still be
 * in time, online ones that cannot, and batch items, each in fair order.
 * overdue.ts says why the second are apart.
 */
import {createFairQueue, type FairQueue} from './fair_queue.js';
import type {Mechanisms} from './mechanisms.js';
import type {ScheduledRequest} from './scheduler_types.js';

/** The three queues, and what is done to all of them. */
export interface WaitingQueues {
  online: FairQueue;
  overdue: FairQueue;
  batch: FairQueue;
  has(request: ScheduledRequest): boolean;
  /** Online requests, in time or not. */
  countOnline(): number;
  /** Online requests for which slots must come free at once. */
  countUrgentOnline(isUrgent: (request: ScheduledRequest) => boolean): number;
  /** Takes a request out and charges its account for it. */
  take(request: ScheduledRequest): void;
  /** Takes a request out without charge: it will not run. */
  remove(id: string): void;
  /** Takes out those whose deadline is at or before `now`. */
  takeExpired(now: number): ScheduledRequest[];
  /** Moves online requests whose target is out of reach behind the others. */
  moveOverdue(
    isOverdue: (request: ScheduledRequest) => boolean,
    estimateWork: (request: ScheduledRequest) => number,
  ): void;
  /** Requests waiting, by queue and account. */
  describe(): object;
}

/** Starts empty. */
export function createWaitingQueues({
  fairShares,
  overdueLast,
}: Readonly<Mechanisms>): WaitingQueues {
  const online = createFairQueue(fairShares);
  const overdue = createFairQueue(fairShares);
  const batch = createFairQueue(fairShares);
  const all = [online, overdue, batch];

  return {
    online,
    overdue,
    batch,
    has: ({id}) => all.some(queue => queue.has(id)),
    countOnline: () => online.count() + overdue.count(),
    countUrgentOnline: isUrgent =>
      online.countWhere(isUrgent) + overdue.count(),
    take({id}) {
      for (const queue of all) queue.take(id);
    },
    remove(id) {
      for (const queue of all) queue.remove(id);
    },
    takeExpired: now => all.flatMap(queue => queue.takeExpired(now)),
    moveOverdue(isOverdue, estimateWork) {
      if (!overdueLast) return;
      for (const {account} of online.listHeads()) {
        // Those behind the head of an account's queue came later than it.
        for (;;) {
          const head = online.peekOf(account);
          if (!head || !isOverdue(head)) break;
          online.remove(head.id);
          overdue.push(head, estimateWork(head));
        }
      }
    },
    describe: () => ({
      online: online.describe(),
      overdue: overdue.describe(),
      batch: batch.describe(),
    }),
  };
}
