/**
 * Takes over the views of other holders, by election or by handover, and stores
 * the inherited buckets until they are first requested.
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

/** A bucket of a view that was taken over. */
export interface InheritedBucket {
  view: HeldView;
  level: BucketLevel;
}

/** The views that this instance has taken over. */
export interface Takeovers {
  /**
   * Tries to take over a view. Returns undefined when that succeeded or cannot
   * succeed, otherwise the reply to a draw.
   */
  takeOver(record: StandbyRecord): Promise<DrawReply | undefined>;
  /** Accepts a view that its holder hands over; returns whether it did. */
  receive(input: HandOverInput): boolean;
  findInherited(bucket: string): InheritedBucket | undefined;
  removeInherited(bucket: string): void;
  findView(run: string): HeldView | undefined;
  countInherited(): number;
  /** Drops everything; called when this instance has lost its lease. */
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

type AcquireResult = DrawReply | undefined;

/** Creates takeovers without any view. */
export function createTakeovers({
  clock,
  peers,
  standby,
  counter,
  isSelf,
  isLive,
  isHeld,
}: Dependencies): Takeovers {
  const inherited = new Map<string, InheritedBucket>();
  const adoptedRuns = new Map<string, HeldView>();

  async function takeOver(record: StandbyRecord): Promise<AcquireResult> {
    const {view, vote} = record;
    const self = view.members.find(({incarnation}) => isSelf(incarnation))!;
    if (adoptedRuns.has(view.run)) return undefined;
    const waitMs = vote.computeWait(clock.now());
    if (vote.candidate && vote.candidate !== self.incarnation) return undefined;
    if (waitMs > 0) return buildUnavailable(waitMs);
    return runElection(record, self);
  }

  /**
   * Runs an election in a view. The first standby votes for itself before it
   * asks the other; the second asks first and votes like the first if that has
   * voted. This way two candidates never block each other.
   */
  async function runElection(
    record: StandbyRecord,
    self: ViewMember,
  ): Promise<AcquireResult> {
    const {view, vote} = record;
    const other = view.members
      .slice(1)
      .find(({incarnation}) => incarnation !== self.incarnation);
    const isFirst = view.members[1].incarnation === self.incarnation;
    const votes = new Map<string, string>();
    if (isFirst) vote.vote(self.incarnation, clock.now());
    if (other) {
      const answer = await fetchVote(view, other, self.incarnation);
      // The lease was lost in the meantime, and with it the right to vote.
      if (!isSelf(self.incarnation)) return buildUnavailable(RETRY_MS);
      if (answer.kind === 'wait') return buildUnavailable(answer.retryAfterMs);
      // If the other standby is lost as well, only the table can decide.
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

  /** Makes this instance the holder of every bucket of the view. */
  function registerView(
    record: StandbyRecord,
    levels: Map<string, BucketLevel>,
  ) {
    const {view} = record;
    if (adoptedRuns.has(view.run)) return;
    const right = createHolderRight(view);
    right.notePermanent();
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
    findInherited: bucket => inherited.get(bucket),
    removeInherited: bucket => void inherited.delete(bucket),
    findView: run => adoptedRuns.get(run),
    countInherited: () => inherited.size,
    clear() {
      for (const {right} of adoptedRuns.values()) right.noteLost();
      adoptedRuns.clear();
      inherited.clear();
    },
  };
}
