/**
 * Decides which request of a pool runs where and when. The dispatcher of a
 * pool feeds it what happens and carries out the actions it returns; plays
 * drive the same code on virtual time.
 *
 * Pattern of load: online bursts and long batch work on endpoints that know no
 * priority and report their load late. Without one place that sees every
 * request and every slot, batch work sits in the engines when a burst comes.
 */
import type {
  EndpointDescription,
  LoadReport,
  CacheEvent,
  PoolLimits,
  ScheduledRequest,
  SchedulerAction,
  SchedulerOutcome,
} from './scheduler_types.js';

/** Actions come back in the order in which they must be carried out. */
export interface PoolScheduler {
  /** Replaces the endpoints that take new work. */
  setEndpoints(
    endpoints: readonly EndpointDescription[],
    now: number,
  ): SchedulerAction[];
  /** Replaces limits when the service document changes. */
  setLimits(limits: PoolLimits, now: number): SchedulerAction[];
  /** A request asks for a slot. */
  submit(request: ScheduledRequest, now: number): SchedulerAction[];
  /** A waiting request's caller is gone. */
  cancel(requestId: string, now: number): SchedulerAction[];
  /** A granted request has ended. Unknown ids are ignored. */
  release(
    requestId: string,
    outcome: SchedulerOutcome,
    now: number,
  ): SchedulerAction[];
  /** A request that another dispatcher granted runs here: count its slot. */
  adopt(request: ScheduledRequest, endpoint: string, now: number): void;
  /** An endpoint's own report of its load; it lags. */
  noteLoad(endpoint: string, report: LoadReport, now: number): void;
  /** An endpoint's cache stored or dropped a prefix; late and with gaps. */
  noteCacheEvent(endpoint: string, event: CacheEvent, now: number): void;
  /** Time has passed: expire, refuse, probe, grant. */
  decide(now: number): SchedulerAction[];
  /** State for dumps, without secrets. */
  describe(now: number): object;
}

/** First come, first served; online before batch; least outstanding first. */
export function createPoolScheduler(initial: PoolLimits): PoolScheduler {
  let limits = initial;
  let endpoints: readonly EndpointDescription[] = [];
  const waiting: ScheduledRequest[] = [];
  const running = new Map<string, {endpoint: string}>();

  function countRunning(endpoint: string): number {
    return [...running.values()].filter(held => held.endpoint === endpoint)
      .length;
  }

  function chooseEndpoint(request: ScheduledRequest): string | undefined {
    return endpoints
      .map(({address}) => address)
      .filter(address => !request.avoid.includes(address))
      .filter(address => countRunning(address) < limits.maxConcurrency)
      .sort((a, b) => countRunning(a) - countRunning(b))[0];
  }

  function grantWaiting(now: number): SchedulerAction[] {
    const actions: SchedulerAction[] = [];
    const order = [...waiting].sort((a, b) =>
      a.workClass === b.workClass ? 0 : a.workClass === 'online' ? -1 : 1,
    );
    for (const request of order) {
      const endpoint = chooseEndpoint(request);
      if (request.deadline <= now) {
        actions.push({
          kind: 'refuse',
          requestId: request.id,
          reason: 'deadline',
          retryAfterMs: 1000,
        });
      } else if (endpoint) {
        running.set(request.id, {endpoint});
        actions.push({kind: 'grant', requestId: request.id, endpoint});
      } else continue;
      waiting.splice(waiting.indexOf(request), 1);
    }
    return actions;
  }

  return {
    setEndpoints(next, now) {
      endpoints = next;
      return grantWaiting(now);
    },
    setLimits(next, now) {
      limits = next;
      return grantWaiting(now);
    },
    submit(request, now) {
      waiting.push(request);
      return grantWaiting(now);
    },
    cancel(requestId) {
      const index = waiting.findIndex(({id}) => id === requestId);
      if (index >= 0) waiting.splice(index, 1);
      return [];
    },
    release(requestId, _outcome, now) {
      running.delete(requestId);
      return grantWaiting(now);
    },
    adopt(request, endpoint) {
      running.set(request.id, {endpoint});
    },
    noteLoad() {},
    noteCacheEvent() {},
    decide: grantWaiting,
    describe: () => ({waiting: waiting.length, running: running.size}),
  };
}
