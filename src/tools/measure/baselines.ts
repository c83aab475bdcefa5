/** Simple policies to compare with, behind the scheduler's own interface. */
import type {PoolScheduler} from '../../decisions/pool_scheduler.js';
import type {
  PoolLimits,
  ScheduledRequest,
  SchedulerAction,
} from '../../decisions/scheduler_types.js';

interface BaselinePolicy {
  /** Whether requests of this kind wait for a free slot. */
  hasLimit: (request: ScheduledRequest) => boolean;
  /** The next endpoint among those with room. */
  chooseEndpoint: (
    counts: ReadonlyMap<string, number>,
    open: readonly string[],
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

  function listOpen(request: ScheduledRequest): string[] {
    return [...counts.keys()].filter(
      endpoint =>
        !request.avoid.includes(endpoint) &&
        (!hasLimit(request) || counts.get(endpoint)! < limits.maxConcurrency),
    );
  }

  function grantOne(request: ScheduledRequest): SchedulerAction | undefined {
    const open = listOpen(request);
    if (open.length === 0) return undefined;
    const endpoint = chooseEndpoint(counts, open);
    addSlot(request.id, endpoint);
    return {kind: 'grant', requestId: request.id, endpoint};
  }

  /** First come, first served: one that must wait holds up those behind. */
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
      const granted = grantOne(request);
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
        const granted = grantOne(request);
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
    noteLoad() {},
    noteCacheEvent() {},
    decide: decideNext,
    exportLatency: () => undefined,
    importLatency() {},
    describe: () => ({}),
  };
}

/** One queue for all work, endpoints in turn. */
export function createRoundRobinScheduler(limits: PoolLimits): PoolScheduler {
  let turn = 0;
  return createBaseline(limits, {
    hasLimit: () => true,
    chooseEndpoint: (_counts, open) => open[turn++ % open.length],
  });
}

/** Questions go at once to the endpoint with the fewest requests; batch too, up to the limit. */
export function createLeastConnectionsScheduler(
  limits: PoolLimits,
): PoolScheduler {
  return createBaseline(limits, {
    hasLimit: ({workClass}) => workClass === 'batch',
    chooseEndpoint: (counts, open) =>
      open.reduce((least, endpoint) =>
        counts.get(endpoint)! < counts.get(least)! ? endpoint : least,
      ),
  });
}
