/**
 * Draws tokens for the requests of this instance from the current holder of
 * their account's bucket, and finds that holder.
 */
import type {Clock} from '../../common/clock.js';
import {chooseByRendezvous} from '../../decisions/instance_ranking.js';
import type {BucketLimits} from '../../decisions/rate_bucket.js';
import {
  createTokenQueue,
  type DrawAnswer,
  type TokenQueueAction,
  type TokenQueue,
  type RateRefusal,
} from '../../decisions/token_queue.js';
import type {Members} from '../members/members.js';
import {MAX_HOPS, RETRY_MS, SETTLE_DELAY_MS} from './constants.js';
import type {DrawReply, SettleInput} from './limit_messages.js';
import type {LimitPeers} from './limit_peers.js';

/** Outcome of a request's wait for a token. */
export type RateOutcome =
  | {kind: 'granted'}
  | {kind: 'refused'; retryAfterMs: number; reason: RateRefusal};

/** Draws tokens for this instance's requests. */
export interface RateClient {
  acquire(bucket: string, limits: BucketLimits): Promise<RateOutcome>;
  /** Removes the state of buckets that have been idle. */
  expire(now: number): void;
  describe(): object;
}

interface BucketState {
  machine: TokenQueue;
  limits: BucketLimits;
  /** Addresses to ask, the likely holder first. */
  route: string[];
  pending: Map<number, (outcome: RateOutcome) => void>;
  cancelTimer: () => void;
  usedAt: number;
}

type SettledGrant = SettleInput['grants'][number];

/** Time in ms for which the state of an unused bucket is retained. */
const IDLE_LIFETIME_MS = 600_000;

/** Creates a client that does not know any holder yet. */
export function createRateClient(
  clock: Clock,
  members: Members,
  peers: LimitPeers,
): RateClient {
  const states = new Map<string, BucketState>();
  const settled = new Map<string, SettledGrant[]>();
  /** Sources of grants, by the client's own ids; holders' ids may clash. */
  const sources = new Map<number, {address: string; run: string; id: number}>();
  let lastGrant = 0;
  let lastId = 0;

  function findOrAdd(bucket: string, limits: BucketLimits): BucketState {
    const held = states.get(bucket);
    if (held) return held;
    const state: BucketState = {
      machine: createTokenQueue(),
      limits,
      route: [],
      pending: new Map(),
      cancelTimer: () => {},
      usedAt: clock.now(),
    };
    states.set(bucket, state);
    return state;
  }

  function chooseFirst(bucket: string): string | undefined {
    return chooseByRendezvous(bucket, members.listLive())?.address;
  }

  function finish(state: BucketState, id: number, outcome: RateOutcome) {
    const resolve = state.pending.get(id);
    state.pending.delete(id);
    resolve?.(outcome);
  }

  function handleActions(
    bucket: string,
    state: BucketState,
    actions: TokenQueueAction[],
  ) {
    for (const action of actions) {
      switch (action.kind) {
        case 'grant':
          finish(state, action.id, {kind: 'granted'});
          break;
        case 'refuse': {
          const {retryAfterMs, reason} = action;
          finish(state, action.id, {kind: 'refused', retryAfterMs, reason});
          break;
        }
        case 'settle':
          noteSettled(bucket, action);
          break;
        case 'draw':
          void sendDraw(bucket, state, action.wanted);
      }
    }
    scheduleDecision(bucket, state);
  }

  function scheduleDecision(bucket: string, state: BucketState) {
    state.cancelTimer();
    const next = state.machine.peekNext();
    if (next === undefined) return;
    // Rounds up: a timer that fires early by a rounding error would be set
    // again and again.
    const delayMs = Math.max(1, Math.ceil(next - clock.now()));
    state.cancelTimer = clock.schedule(delayMs, () =>
      handleActions(bucket, state, state.machine.decide(clock.now())),
    );
  }

  function noteSettled(
    bucket: string,
    {grantId, unspent}: {grantId: number; unspent: number},
  ) {
    const source = sources.get(grantId);
    if (!source) return;
    sources.delete(grantId);
    const {address, run, id} = source;
    const held = settled.get(address) ?? [];
    if (held.length === 0) {
      settled.set(address, held);
      clock.schedule(SETTLE_DELAY_MS, () => sendSettled(address));
    }
    held.push({bucket, run, grantId: id, unspent});
  }

  /** Sends finished grants; if the message is lost, the grants expire. */
  function sendSettled(address: string) {
    const grants = (settled.get(address) ?? []).slice(0, 256);
    settled.delete(address);
    peers.settle(address, {grants}).catch(() => {});
  }

  async function sendDraw(bucket: string, state: BucketState, wanted: number) {
    const {answer, askedAt} = await fetchTokens(bucket, state, wanted);
    const now = clock.now();
    handleActions(
      bucket,
      state,
      state.machine.noteAnswer(answer, askedAt, now),
    );
  }

  /** Asks the likely holder, then addresses it names, then its successors. */
  async function fetchTokens(
    bucket: string,
    state: BucketState,
    wanted: number,
  ) {
    const first = chooseFirst(bucket);
    const queue = state.route.length > 0 ? [...state.route] : [];
    if (first && !queue.includes(first)) queue.push(first);
    const tried = new Set<string>();
    let retryAfterMs = RETRY_MS;
    for (let hop = 0; hop < MAX_HOPS; hop++) {
      const address = queue.find(one => !tried.has(one));
      if (address === undefined) break;
      tried.add(address);
      const askedAt = clock.now();
      const {limits} = state;
      const reply = await peers
        .draw(address, {bucket, wanted, limits})
        .catch(() => undefined);
      if (reply?.kind === 'granted') {
        state.route = [address, ...reply.successors];
        return {answer: buildAnswer(address, reply), askedAt};
      }
      if (reply?.kind === 'redirect') queue.unshift(...reply.addresses);
      if (reply?.kind === 'unavailable') {
        queue.push(...reply.addresses);
        retryAfterMs = Math.min(Math.max(10, reply.retryAfterMs), 1000);
      }
    }
    state.route = orderRoute(state.route);
    const answer: DrawAnswer = {kind: 'unavailable', retryAfterMs};
    return {answer, askedAt: clock.now()};
  }

  /** Moves the first address to the end, as it did not grant. */
  function orderRoute(route: string[]): string[] {
    return route.length > 1 ? [...route.slice(1), route[0]] : [];
  }

  function buildAnswer(
    address: string,
    reply: Extract<DrawReply, {kind: 'granted'}>,
  ): DrawAnswer {
    const {run, recovering, ...grant} = reply;
    const id = ++lastGrant;
    if (grant.immediate + grant.delayed > 0) {
      sources.set(id, {address, run, id: grant.id});
    }
    return {kind: 'granted', grant: {...grant, id}, recovering};
  }

  return {
    acquire(bucket, limits) {
      const now = clock.now();
      const state = findOrAdd(bucket, limits);
      state.usedAt = now;
      if (limits.version >= state.limits.version) state.limits = limits;
      const id = ++lastId;
      return new Promise(resolve => {
        state.pending.set(id, resolve);
        handleActions(bucket, state, state.machine.submit(id, now));
      });
    },
    expire(now) {
      for (const [bucket, {machine, usedAt}] of states) {
        const isOld = now - usedAt > IDLE_LIFETIME_MS;
        if (isOld && machine.isIdle()) states.delete(bucket);
      }
    },
    describe: () =>
      Object.fromEntries(
        [...states].map(([bucket, {route, pending}]) => [
          bucket,
          {holder: route[0], waiting: pending.size},
        ]),
      ),
  };
}
