/**
 * Keeps the requests that go on with a stream and wait for an endpoint of the software
 * version that began it.
 *
 * Load pattern: a release replaces the endpoints of a service, some of them crash, and
 * the streams that broke off come back at once. Only endpoints of their version may go
 * on with them, and few of those may be left. In the common queues, each of them would
 * block its account's other requests, which any endpoint can take.
 *
 * Online ones leave their queue at once, and start before all others as soon as an endpoint
 * of their version has room, because their callers hold a part of the answer. Batch items
 * keep their turn until only their version keeps them from starting.
 */
import type {ScheduledRequest, WorkClass} from './scheduler_types.js';
import type {WaitingQueues} from './waiting_queues.js';

/** Requests that wait for a version, in the order in which they began to. */
export interface VersionWaits {
  has(requestId: string): boolean;
  /** Takes a request out of its queue if it needs a version. */
  park(request: ScheduledRequest): void;
  /** Returns the request if it waited. */
  remove(requestId: string): ScheduledRequest | undefined;
  list(workClass: WorkClass): ScheduledRequest[];
  /** Removes and returns the requests that meet a condition. */
  takeWhere(
    shouldTake: (request: ScheduledRequest) => boolean,
  ): ScheduledRequest[];
  count(): number;
}

/** Creates an empty set. */
export function createVersionWaits(
  queues: Pick<WaitingQueues, 'take'>,
): VersionWaits {
  const waits = new Map<string, ScheduledRequest>();

  function remove(requestId: string): ScheduledRequest | undefined {
    const request = waits.get(requestId);
    waits.delete(requestId);
    return request;
  }

  return {
    has: requestId => waits.has(requestId),
    park(request) {
      if (request.version === undefined) return;
      queues.take(request);
      waits.set(request.id, request);
    },
    remove,
    list: workClass =>
      [...waits.values()].filter(request => request.workClass === workClass),
    takeWhere(shouldTake) {
      const taken = [...waits.values()].filter(shouldTake);
      for (const {id} of taken) remove(id);
      return taken;
    },
    count: () => waits.size,
  };
}
