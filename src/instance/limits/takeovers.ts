/**
 * This instance as the heir of other holders: it is elected in their views, or
 * handed them, and keeps what it inherits until somebody asks for it.
 */
import type {Counter} from 'prom-client';
import type {Clock} from '../../common/clock.js';
import type {BucketLevel} from '../../decisions/rate_bucket.js';
import {
  createHolderRight,
  isElected,
  type RateView,
  type ViewMember,
} from '../../decisions/rate_view.js';
import {RETRY_MS} from './constants.js';
import type {HeldView} from './held_buckets.js';
import {
  buildUnavailable,
  type DrawReply,
  type HandOverInput,
  type VoteReply,
} from './limit_messages.js';
import type {LimitPeers} from './limit_peers.js';
import type {Standby, StandbyRecord} from './standby.js';

/** A bucket that came with a view. */
export interface Inheritance {
  view: HeldView;
  level: BucketLevel;
}

/** Views taken over. */
export interface Takeovers {
  /** Undefined when done, or when this record leads nowhere. */
  takeOver(record: StandbyRecord): Promise<DrawReply | undefined>;
  /** Takes what a holder hands over; returns whether it did. */
  receive(input: HandOverInput): boolean;
  findInheritance(bucket: string): Inheritance | undefined;
  removeInheritance(bucket: string): void;
  findView(run: string): HeldView | undefined;
  countInheritances(): number;
  /** The lease was lost: none of it may be used any more. */
  clear(): void;
}

interface Dependencies {
  clock: Clock;
  peers: LimitPeers;
  standby: Standby;
  counter: Counter;
  isSelf(incarnation: string): boolean;
  isLive(member: ViewMember): boolean;
  isHeld(bucket: string): boolean;
}

type Obtained = DrawReply | undefined;

/** Starts with none. */
export function createTakeovers({
  clock,
  peers,
  standby,
  counter,
  isSelf,
  isLive,
  isHeld,
}: Dependencies): Takeovers {
  const inherited = new Map<string, Inheritance>();
  const adoptedRuns = new Map<string, HeldView>();

  /** Undefined when done, or when this record leads nowhere. */
  async function takeOver(record: StandbyRecord): Promise<Obtained> {
    const {view, vote} = record;
    const self = view.members.find(({incarnation}) => isSelf(incarnation))!;
    if (adoptedRuns.has(view.run)) return undefined;
    const waitMs = vote.computeWait(clock.now());
    if (vote.candidate && vote.candidate !== self.incarnation) return undefined;
    if (waitMs > 0) return buildUnavailable(waitMs);
    return runElection(record, self);
  }

  /**
   * The first standby votes for itself before it asks; the second asks first,
   * and follows the first if that has voted: two candidates never block each
   * other.
   */
  async function runElection(
    record: StandbyRecord,
    self: ViewMember,
  ): Promise<Obtained> {
    const {view, vote} = record;
    const other = view.members
      .slice(1)
      .find(({incarnation}) => incarnation !== self.incarnation);
    const isFirst = view.members[1].incarnation === self.incarnation;
    const votes = new Map<string, string>();
    if (isFirst) vote.vote(self.incarnation, clock.now());
    if (other) {
      const answer = await fetchVote(view, other, self.incarnation);
      // The lease was lost meanwhile, and with it the right to vote.
      if (!isSelf(self.incarnation)) return buildUnavailable(RETRY_MS);
      if (answer.kind === 'wait') return buildUnavailable(answer.retryAfterMs);
      // With the other standby lost as well only the table can decide.
      if (answer.kind === 'unknown') {
        return isLive(other) ? buildUnavailable(RETRY_MS) : undefined;
      }
      votes.set(other.incarnation, answer.candidate);
      if (!isFirst) vote.vote(answer.candidate, clock.now());
    }
    votes.set(self.incarnation, vote.candidate ?? '');
    if (isElected(view, self.incarnation, votes)) {
      counter.inc({way: 'votes'});
      registerView(record, new Map());
      return undefined;
    }
    const winner = view.members.find(one => one.incarnation === vote.candidate);
    return winner && !isSelf(winner.incarnation)
      ? {kind: 'redirect', addresses: [winner.address]}
      : undefined;
  }

  async function fetchVote(
    view: RateView,
    {address, incarnation: to}: ViewMember,
    candidate: string,
  ): Promise<VoteReply> {
    try {
      return await peers.vote(address, {run: view.run, to, candidate});
    } catch {
      return {kind: 'unknown'};
    }
  }

  /** Every bucket of the view is this instance's from now on. */
  function registerView(
    record: StandbyRecord,
    levels: Map<string, BucketLevel>,
  ) {
    const {view} = record;
    if (adoptedRuns.has(view.run)) return;
    const right = createHolderRight(view);
    right.noteOwned();
    const held = {view, right};
    adoptedRuns.set(view.run, held);
    for (const [id, tokens] of record.buckets) {
      const level = levels.get(id) ?? {tokens, lent: 0};
      if (!isHeld(id)) inherited.set(id, {view: held, level});
    }
    record.buckets.clear();
  }

  return {
    takeOver,
    receive({view, to, owned, buckets: given}) {
      if (adoptedRuns.has(view.run)) return false;
      const record = standby.add(view);
      const {candidate} = record.vote;
      const isFree = candidate === undefined || candidate === to;
      if (!owned && !isFree) return false;
      record.vote.concede(to);
      for (const {bucket} of given) record.buckets.set(bucket, 0);
      const levels = given.map(
        ({bucket, tokens, lent}): [string, BucketLevel] => [
          bucket,
          {tokens, lent},
        ],
      );
      registerView(record, new Map(levels));
      counter.inc({way: 'handover'});
      return true;
    },
    findInheritance: bucket => inherited.get(bucket),
    removeInheritance: bucket => void inherited.delete(bucket),
    findView: run => adoptedRuns.get(run),
    countInheritances: () => inherited.size,
    clear() {
      for (const {right} of adoptedRuns.values()) right.noteLost();
      adoptedRuns.clear();
      inherited.clear();
    },
  };
}
