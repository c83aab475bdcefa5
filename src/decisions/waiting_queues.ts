/**
 * The requests that wait for a slot of one pool: online ones that can still be
 * in time, online ones that cannot, and batch items likewise, each in fair
 * order. overdue.ts and batch_order.ts say why the late ones are apart.
 */
import {createFairQueue, type FairQueue} from './fair_queue.js';
import type {Mechanisms} from './mechanisms.js';
import type {ScheduledRequest} from './scheduler_types.js';

/** The queues, and what is done to all of them. */
export interface WaitingQueues {
  online: FairQueue;
  overdue: FairQueue;
  batch: FairQueue;
  /** Batch items that cannot be in time any more. */
  late: FairQueue;
  has(request: ScheduledRequest): boolean;
  /** Online requests, in time or not. */
  countOnline(): number;
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
  /** Moves batch items that cannot be in time any more behind the others. */
  moveLate(
    isPastSaving: (request: ScheduledRequest) => boolean,
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
  const late = createFairQueue(fairShares);
  const all = [online, overdue, batch, late];

  /** Those behind the head of an account's queue are due later than it. */
  function pushHeads(
    from: FairQueue,
    to: FairQueue,
    isToMove: (request: ScheduledRequest) => boolean,
    estimateWork: (request: ScheduledRequest) => number,
  ) {
    for (const {account} of from.listHeads()) {
      for (;;) {
        const head = from.peekOf(account);
        if (!head || !isToMove(head)) break;
        from.remove(head.id);
        to.push(head, estimateWork(head));
      }
    }
  }

  return {
    online,
    overdue,
    batch,
    late,
    has: ({id}) => all.some(queue => queue.has(id)),
    countOnline: () => online.count() + overdue.count(),
    take({id}) {
      for (const queue of all) queue.take(id);
    },
    remove(id) {
      for (const queue of all) queue.remove(id);
    },
    takeExpired: now => all.flatMap(queue => queue.takeExpired(now)),
    moveOverdue(isOverdue, estimateWork) {
      if (overdueLast) pushHeads(online, overdue, isOverdue, estimateWork);
    },
    moveLate(isPastSaving, estimateWork) {
      pushHeads(batch, late, isPastSaving, estimateWork);
    },
    describe: () => ({
      online: online.describe(),
      overdue: overdue.describe(),
      batch: batch.describe(),
      late: late.describe(),
    }),
  };
}
