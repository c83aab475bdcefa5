/** Simple policies for comparison, which implement the scheduler's interface. */
import type {PoolScheduler} from '../../decisions/pool_scheduler.js';
import type {
  PoolLimits,
  ScheduledRequest,
  SchedulerAction,
} from '../../decisions/scheduler_types.js';

interface BaselinePolicy {
  /** Whether requests of this kind wait for a free slot. */
  hasLimit: (request: ScheduledRequest) => boolean;
  /** Chooses an endpoint among those with a free slot. */
  chooseEndpoint: (
    counts: ReadonlyMap<string, number>,
    available: readonly string[],
  ) => string;
}

function createBaseline(
  limits: PoolLimits,
  {hasLimit, chooseEndpoint}: BaselinePolicy,
): PoolScheduler {
  const counts = new Map<string, number>();
  const holders = new Map<string, string>();
  let waiting: ScheduledRequest[] = [];

  function addSlot(id: string, endpoint: string) {
    holders.set(id, endpoint);
    counts.set(endpoint, (counts.get(endpoint) ?? 0) + 1);
  }

  function listAvailable(request: ScheduledRequest): string[] {
    return [...counts.keys()].filter(
      endpoint =>
        !request.avoid.includes(endpoint) &&
        (!hasLimit(request) || counts.get(endpoint)! < limits.maxConcurrency),
    );
  }

  function grantRequest(
    request: ScheduledRequest,
  ): SchedulerAction | undefined {
    const available = listAvailable(request);
    if (available.length === 0) return undefined;
    const endpoint = chooseEndpoint(counts, available);
    addSlot(request.id, endpoint);
    return {kind: 'grant', requestId: request.id, endpoint};
  }

  /** First come, first served: a request that has to wait blocks those behind it. */
  function decideNext(now: number): SchedulerAction[] {
    const actions: SchedulerAction[] = [];
    let next = 0;
    for (; next < waiting.length; next++) {
      const request = waiting[next];
      if (request.deadline <= now) {
        actions.push({
          kind: 'refuse',
          requestId: request.id,
          reason: 'deadline',
          retryAfterMs: 1000,
        });
        continue;
      }
      const granted = grantRequest(request);
      if (!granted) break;
      actions.push(granted);
    }
    waiting = waiting.slice(next);
    return actions;
  }

  return {
    setEndpoints(endpoints, now) {
      for (const {address} of endpoints) counts.set(address, 0);
      return decideNext(now);
    },
    setLimits: (_limits, now) => decideNext(now),
    submit(request, now) {
      if (!hasLimit(request)) {
        const granted = grantRequest(request);
        if (granted) return [granted];
      }
      waiting.push(request);
      return decideNext(now);
    },
    cancel(id) {
      waiting = waiting.filter(request => request.id !== id);
      return [];
    },
    release(id, _outcome, now) {
      const endpoint = holders.get(id);
      if (endpoint) counts.set(endpoint, counts.get(endpoint)! - 1);
      holders.delete(id);
      return decideNext(now);
    },
    adopt: (request, endpoint) => addSlot(request.id, endpoint),
    noteFirstByte() {},
    noteLoad: () => undefined,
    noteCacheEvent() {},
    decide: decideNext,
    exportLatency: () => undefined,
    importLatency() {},
    takeMemoryWaits: () => 0,
    summarizeShares: () => ({isCompeting: false, jain: 1, worstTenth: 1}),
    describe: () => ({}),
  };
}

/** One queue for all work; endpoints are chosen round robin. */
export function createRoundRobinScheduler(limits: PoolLimits): PoolScheduler {
  let turn = 0;
  return createBaseline(limits, {
    hasLimit: () => true,
    chooseEndpoint: (_counts, available) =>
      available[turn++ % available.length],
  });
}

/**
 * Online requests go at once to the endpoint with the fewest requests; batch requests go
 * there too, but only up to the limit.
 */
export function createLeastConnectionsScheduler(
  limits: PoolLimits,
): PoolScheduler {
  return createBaseline(limits, {
    hasLimit: ({workClass}) => workClass === 'batch',
    chooseEndpoint: (counts, available) =>
      available.reduce((least, endpoint) =>
        counts.get(endpoint)! < counts.get(least)! ? endpoint : least,
      ),
  });
}
