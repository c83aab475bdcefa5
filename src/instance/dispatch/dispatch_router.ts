/** Procedures between holders of slots and dispatchers. */
import {groupBy} from '../../common/collections.js';
import type {Clock} from '../../common/clock.js';
import {createTimeout} from '../../common/clock.js';
import type {ScheduledRequest} from '../../decisions/scheduler_types.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import {buildPeerRouterOf, peerProcedure} from '../peers/peer_procedures.js';
import {ACQUIRE_POLL_MS} from './constants.js';
import type {PoolTable} from './pool_table.js';
import {
  acquireSchema,
  movedSchema,
  poolNameSchema,
  releaseSchema,
  reportSchema,
  yieldSchema,
  type AcquireAnswer,
  type PoolDescription,
  type ReportInput,
  type WireRequest,
} from './dispatch_schemas.js';

export interface DispatchRouterDependencies {
  clock: Clock;
  pools: PoolTable;
  /** Makes a batch item of this instance yield its slot. */
  yieldSlot: (requestId: string) => void;
  /** Records that a dispatcher stops or stands down. */
  noteMoved: (dispatcher: string) => void;
  /** Describes this instance's slots in a pool, and the known latency. */
  describePool: (poolName: string) => PoolDescription;
  /** Finds this instance's list entry of an endpoint of a pool. */
  findEndpoint: (
    service: string,
    poolName: string,
    address: string,
  ) => ListedInstance | undefined;
}

/** Builds the dispatch procedures that other instances call. */
export function buildDispatchRouter({
  clock,
  pools,
  yieldSlot,
  noteMoved,
  describePool,
  findEndpoint,
}: DispatchRouterDependencies) {
  return buildPeerRouterOf({
    acquire: peerProcedure
      .input(acquireSchema)
      .mutation(async ({input}): Promise<AcquireAnswer> => {
        if (pools.isStopped()) return MOVED;
        const pool = pools.open(input.service, input.pool);
        const request = decodeRequest(input.request, clock.now());
        const timeout = createTimeout(clock, ACQUIRE_POLL_MS);
        const answer = await Promise.race([
          pool.submit(request, input.holder),
          timeout.expired,
        ]);
        timeout.cancel();
        if (answer === undefined) return WAITING;
        if (answer.kind !== 'granted') return answer;
        const listed = findEndpoint(input.service, input.pool, answer.endpoint);
        const latency = pool.exportLatency(answer.endpoint);
        return {...answer, listed, latency};
      }),
    release: peerProcedure.input(releaseSchema).mutation(({input}) => {
      for (const {pool, requestId, firstByteMs, load} of input.firstBytes ??
        []) {
        pools.find(pool)?.noteFirstByte(requestId, firstByteMs, load);
      }
      for (const {pool, requestId, outcome} of input.releases) {
        pools.find(pool)?.release(requestId, outcome);
      }
    }),
    describePool: peerProcedure
      .input(poolNameSchema)
      .query(({input}) => describePool(input.pool)),
    report: peerProcedure.input(reportSchema).mutation(({input}) => {
      receiveReport(pools, input, clock.now());
    }),
    moved: peerProcedure
      .input(movedSchema)
      .mutation(({input}) => noteMoved(input.dispatcher)),
    yield: peerProcedure.input(yieldSchema).mutation(({input}) => {
      input.requestIds.forEach(yieldSlot);
    }),
  });
}

/** Passes reported slots to their pools, and opens pools with held slots. */
export function receiveReport(
  pools: PoolTable,
  {holder, pools: names, slots}: ReportInput,
  now: number,
): void {
  const slotsByPool = groupBy(slots, slot => slot.pool);
  for (const name of names) {
    const held = slotsByPool.get(name) ?? [];
    const pool = held[0] ? pools.open(held[0].service, name) : pools.find(name);
    pool?.receiveReport(
      holder,
      held.map(({request, endpoint}) => ({
        request: decodeRequest(request, now),
        endpoint,
      })),
    );
  }
}

const WAITING: AcquireAnswer = {kind: 'waiting'};
const MOVED: AcquireAnswer = {kind: 'moved'};

/** Converts the remaining times of a request to this instance's clock. */
export function decodeRequest(
  {remainingMs, targetMs, startMs, dueMs, ...request}: WireRequest,
  now: number,
): ScheduledRequest {
  const toTime = (ms?: number) => (ms === undefined ? undefined : now + ms);
  return {
    ...request,
    deadline: now + remainingMs,
    targetAt: toTime(targetMs),
    startBy: toTime(startMs),
    dueAt: toTime(dueMs),
  };
}

/** Converts times to remaining times, for an instance with another clock. */
export function encodeRequest(
  {deadline, targetAt, startBy, dueAt, ...request}: ScheduledRequest,
  now: number,
): WireRequest {
  const toRest = (at?: number) => (at === undefined ? undefined : at - now);
  return {
    ...request,
    targetMs: toRest(targetAt),
    startMs: toRest(startBy),
    dueMs: toRest(dueAt),
    prefixHashes: [...request.prefixHashes],
    avoid: [...request.avoid],
    remainingMs: Math.max(0, deadline - now),
  };
}
