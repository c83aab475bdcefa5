/**
 * Limits the rate and burst of each account over the fleet by one owner for
 * each account, which is the live instance that ranks first for the account's
 * name. Nothing is stored; decisions/rate_share.ts explains why the excess
 * stays within the agreed bound.
 */
import * as z from 'zod';
import type {Clock} from '../../common/clock.js';
import type {Metrics} from '../../common/metrics.js';
import type {StateSource} from '../../common/state_dump.js';
import {
  chooseByRendezvous,
  selectSettled,
} from '../../decisions/instance_ranking.js';
import {
  createShareBucket,
  type ShareBucket,
  type ShareLimits,
} from '../../decisions/rate_share.js';
import type {Members} from '../members/members.js';
import {buildPeerRouterOf, peerProcedure} from '../peers/peer_procedures.js';
import {OWNER_COOLDOWN_MS, OWNER_TIMEOUT_MS} from './constants.js';

const takeSchema = z.strictObject({
  account: z.string(),
  rate: z.number(),
  burst: z.number(),
});
const takeAnswerSchema = z.strictObject({retryAfterMs: z.number()});
const refundSchema = z.strictObject({account: z.string()});

type TakeInput = z.infer<typeof takeSchema>;
type TakeAnswer = z.infer<typeof takeAnswerSchema>;

/** Whether a request is within its account's rate. */
export type AllowanceDecision =
  | {kind: 'granted'; refund: () => void}
  | {kind: 'refused'; retryAfterMs: number};

/** An account whose rate is bounded. */
export interface BoundedAccount {
  name: string;
  /** Requests a second; 0 means no limit. */
  ratePerS: number;
  burst: number;
}

/** The limits as seen from this instance. */
export interface OwnerLimits extends StateSource {
  acquire(account: BoundedAccount): Promise<AllowanceDecision>;
  /** Procedures that peers call. */
  procedures: {
    take(input: TakeInput): TakeAnswer;
    refund(input: z.infer<typeof refundSchema>): void;
  };
}

/** Calls to owners on other instances. */
export interface OwnerPeers {
  take(
    address: string,
    input: TakeInput,
    timeoutMs: number,
  ): Promise<TakeAnswer>;
  refund(address: string, account: string): void;
}

export interface OwnerLimitsDependencies {
  clock: Clock;
  metrics: Metrics;
  members: Pick<Members, 'self' | 'listLive' | 'subscribe'>;
  /** Number of registered entry instances, live or not. */
  countKnown: () => number;
  peers: OwnerPeers;
  /** Limits active here; those of the owner override those in the message. */
  findLimits: (account: string) => ShareLimits | undefined;
}

/** Builds the procedures of limits that other instances call. */
export function buildOwnerLimitsRouter({procedures}: OwnerLimits) {
  return buildPeerRouterOf({
    take: peerProcedure
      .input(takeSchema)
      .output(takeAnswerSchema)
      .mutation(({input}) => procedures.take(input)),
    refund: peerProcedure
      .input(refundSchema)
      .mutation(({input}) => procedures.refund(input)),
  });
}

/** Creates limits without buckets. */
export function createOwnerLimits({
  clock,
  metrics,
  members,
  countKnown,
  peers,
  findLimits,
}: OwnerLimitsDependencies): OwnerLimits {
  const owned = new Map<string, ShareBucket>();
  const fallbackBuckets = new Map<string, ShareBucket>();
  const silentUntil = new Map<string, number>();
  let viewSince = clock.now();
  members.subscribe(() => {
    viewSince = clock.now();
  });
  const decisions = metrics.createCounter(
    'allowance_decisions_total',
    'Decisions on the rates of accounts, by outcome and by who decided (own, remote, alone).',
    ['outcome', 'way'],
  );

  function getBucket(buckets: Map<string, ShareBucket>, account: string) {
    const held = buckets.get(account) ?? createShareBucket();
    buckets.set(account, held);
    return held;
  }

  /** The fraction of the known instances that this instance sees as live. */
  function computeOwnedShare(): number {
    const live = members.listLive().length;
    return Math.min(1, live / Math.max(1, countKnown()));
  }

  function take(input: TakeInput): TakeAnswer {
    const limits = findLimits(input.account) ?? input;
    if (limits.rate <= 0) return {retryAfterMs: 0};
    const bucket = getBucket(owned, input.account);
    const share = computeOwnedShare();
    return {retryAfterMs: bucket.take(limits, share, viewSince, clock.now())};
  }

  function takeFromOwnShare(input: TakeInput): TakeAnswer {
    const bucket = getBucket(fallbackBuckets, input.account);
    const share = 1 / Math.max(1, countKnown());
    return {retryAfterMs: bucket.take(input, share, clock.now(), clock.now())};
  }

  async function takeFromOwner(
    address: string,
    input: TakeInput,
  ): Promise<TakeAnswer | undefined> {
    if ((silentUntil.get(address) ?? 0) > clock.now()) return undefined;
    try {
      return await peers.take(address, input, OWNER_TIMEOUT_MS);
    } catch {
      // The caller decides from its own share, which is counted as `alone`.
      silentUntil.set(address, clock.now() + OWNER_COOLDOWN_MS);
      return undefined;
    }
  }

  function decide(
    answer: TakeAnswer,
    way: string,
    refund: () => void,
  ): AllowanceDecision {
    const isGranted = answer.retryAfterMs === 0;
    decisions.inc({outcome: isGranted ? 'granted' : 'refused', way});
    if (isGranted) return {kind: 'granted', refund};
    return {kind: 'refused', retryAfterMs: answer.retryAfterMs};
  }

  return {
    async acquire({name: account, ratePerS: rate, burst}) {
      if (rate <= 0) return {kind: 'granted', refund: () => {}};
      const input = {account, rate, burst};
      const settled = selectSettled(members.listLive());
      const owner = chooseByRendezvous(`account ${account}`, settled);
      if (!owner || owner.name === members.self.name) {
        const refund = () => getBucket(owned, account).refund();
        return decide(take(input), 'own', refund);
      }
      const answer = await takeFromOwner(owner.address, input);
      if (answer) {
        const refund = () => peers.refund(owner.address, account);
        return decide(answer, 'remote', refund);
      }
      const refund = () => getBucket(fallbackBuckets, account).refund();
      return decide(takeFromOwnShare(input), 'alone', refund);
    },
    procedures: {
      take,
      refund: ({account}) => getBucket(owned, account).refund(),
    },
    describeState: () => ({
      owned: [...owned.keys()],
      alone: [...fallbackBuckets.keys()],
    }),
  };
}
