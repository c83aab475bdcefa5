/**
 * The requests that wait for a slot of one pool, in four queues: online
 * requests that can still be in time, online requests that cannot, and batch
 * items likewise, each in fair order. overdue.ts and batch_order.ts explain why
 * late requests have queues of their own.
 */
import {createFairQueue, type FairQueue} from './fair_queue.js';
import type {Mechanisms} from './mechanisms.js';
import type {ScheduledRequest} from './scheduler_types.js';

/** The four queues and the operations on all of them. */
export interface WaitingQueues {
  online: FairQueue;
  overdue: FairQueue;
  batch: FairQueue;
  /** Batch items that can no longer be in time. */
  late: FairQueue;
  has(request: ScheduledRequest): boolean;
  /** Counts all waiting online requests. */
  countOnline(): number;
  /** Removes a request and charges its account for the work. */
  take(request: ScheduledRequest): void;
  /**
   * Removes and returns a request that will not run; its account is not
   * charged.
   */
  remove(id: string): ScheduledRequest | undefined;
  /** Removes and returns the requests whose deadline is at or before `now`. */
  takeExpired(now: number): ScheduledRequest[];
  /** Moves online requests that cannot meet their target behind the others. */
  moveOverdue(
    isOverdue: (request: ScheduledRequest) => boolean,
    estimateWork: (request: ScheduledRequest) => number,
  ): void;
  /** Moves batch items that can no longer be in time behind the others. */
  moveLate(
    isDueTimeUnreachable: (request: ScheduledRequest) => boolean,
    estimateWork: (request: ScheduledRequest) => number,
  ): void;
  /** Returns the number of waiting requests by queue and account. */
  describe(): object;
}

/** Creates empty queues. */
export function createWaitingQueues({
  fairShares,
  overdueLast,
}: Readonly<Mechanisms>): WaitingQueues {
  const online = createFairQueue(fairShares);
  const overdue = createFairQueue(fairShares);
  const batch = createFairQueue(fairShares);
  const late = createFairQueue(fairShares);
  const all = [online, overdue, batch, late];

  /**
   * Moves the requests at the head of each account's queue that meet a
   * condition. The requests behind the first one that stays are due later than
   * it.
   */
  function pushHeads(
    from: FairQueue,
    to: FairQueue,
    shouldMove: (request: ScheduledRequest) => boolean,
    estimateWork: (request: ScheduledRequest) => number,
  ) {
    for (const {account} of from.listHeads()) {
      for (;;) {
        const head = from.peekOf(account);
        if (!head || !shouldMove(head)) break;
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
    remove: id => all.find(queue => queue.has(id))?.remove(id),
    takeExpired: now => all.flatMap(queue => queue.takeExpired(now)),
    moveOverdue(isOverdue, estimateWork) {
      if (overdueLast) pushHeads(online, overdue, isOverdue, estimateWork);
    },
    moveLate(isDueTimeUnreachable, estimateWork) {
      pushHeads(batch, late, isDueTimeUnreachable, estimateWork);
    },
    describe: () => ({
      online: online.describe(),
      overdue: overdue.describe(),
      batch: batch.describe(),
      late: late.describe(),
    }),
  };
}
