/**
 * Rate and burst of each account over the fleet, by one owner for each account:
 * the live instance that ranks first for its name. Nothing of it is stored;
 * decisions/rate_share.ts says why that stays within the agreed excess.
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

/** Whether a request is inside its account's rate. */
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
  /** What peers call. */
  procedures: {
    take(input: TakeInput): TakeAnswer;
    refund(input: z.infer<typeof refundSchema>): void;
  };
}

/** How owners on other instances are reached. */
export interface OwnerPeers {
  take(
    address: string,
    input: TakeInput,
    timeoutMs: number,
  ): Promise<TakeAnswer>;
  refund(address: string, account: string): void;
}

/** What the limits work with. */
export interface OwnerLimitsDependencies {
  clock: Clock;
  metrics: Metrics;
  members: Pick<Members, 'self' | 'listLive' | 'subscribe'>;
  /** Entry instances that are registered, live or not. */
  countKnown: () => number;
  peers: OwnerPeers;
  /** Limits in force here; an owner's own view goes before the asker's. */
  findLimits: (account: string) => ShareLimits | undefined;
}

/** Procedures that other instances call on this one's limits. */
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

/** Starts without buckets. */
export function createOwnerLimits({
  clock,
  metrics,
  members,
  countKnown,
  peers,
  findLimits,
}: OwnerLimitsDependencies): OwnerLimits {
  const owned = new Map<string, ShareBucket>();
  const alone = new Map<string, ShareBucket>();
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

  /** Of the known instances, the part that this one sees. */
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

  function takeAlone(input: TakeInput): TakeAnswer {
    const bucket = getBucket(alone, input.account);
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
      // Counted as a decision taken alone.
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
      const refund = () => getBucket(alone, account).refund();
      return decide(takeAlone(input), 'alone', refund);
    },
    procedures: {
      take,
      refund: ({account}) => getBucket(owned, account).refund(),
    },
    describeState: () => ({
      owned: [...owned.keys()],
      alone: [...alone.keys()],
    }),
  };
}
