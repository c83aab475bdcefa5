/**
 * Who may act as holder of a set of buckets: the holder, backed by promises of
 * up to two standbys in other failure domains, or one of them after it.
 *
 * Load pattern: none; this answers the holder's loss. Waiting out a table lease
 * (30 s) refuses every request of its accounts for that long, and during an
 * outage of the store no lease can be renewed or taken over at all. Here a
 * standby takes over in PROMISE_MS, with the store up or down.
 *
 * Safety: with two standbys the holder acts on the promise of one of them, and
 * a standby takes over by the votes of both, or of itself and the holder. With
 * one, the holder needs its promise, and it needs no other vote. Any two such
 * sets share an instance, which votes once and not while its promise runs. The
 * promise runs on the holder's clock from the time it asked, on the standby's
 * from the time it answered, which is later.
 */
import {
  CLOCK_MARGIN_MS,
  GRANT_LIFETIME_MS,
  PROMISE_MS,
} from './rate_constants.js';

/** An instance in a view, by the run of its process. */
export interface ViewMember {
  name: string;
  address: string;
  incarnation: string;
}

/** The holder first, then its standbys. Never changes; a new view replaces it. */
export interface RateView {
  /** Unique: the holder's incarnation and a number. */
  run: string;
  members: ViewMember[];
}

/** What a standby answers to a renewal. */
export type PromiseAnswer = {kind: 'promised'} | {kind: 'sealed'};

/** What a member of a view answers to a candidate. */
export type VoteAnswer =
  | {kind: 'voted'; candidate: string}
  /** A promise still runs. */
  | {kind: 'wait'; retryAfterMs: number};

/** A standby's part in one view. */
export interface StandbyVote {
  renew(now: number): PromiseAnswer;
  vote(candidate: string, now: number): VoteAnswer;
  /** The holder itself gives its right to `candidate`. */
  concede(candidate: string): void;
  readonly candidate: string | undefined;
  /** Time left of the promise. */
  computeWait(now: number): number;
}

/** `holder` is the incarnation that the promises are made to. */
export function createStandbyVote(holder: string): StandbyVote {
  let promisedUntil = -Infinity;
  let candidate: string | undefined;

  function computeWait(now: number): number {
    return Math.max(0, promisedUntil - now);
  }

  return {
    renew(now) {
      if (candidate !== undefined && candidate !== holder) {
        return {kind: 'sealed'};
      }
      promisedUntil = now + PROMISE_MS + CLOCK_MARGIN_MS;
      return {kind: 'promised'};
    },
    vote(wanted, now) {
      const retryAfterMs = computeWait(now);
      if (candidate === undefined && wanted !== holder && retryAfterMs > 0) {
        return {kind: 'wait', retryAfterMs};
      }
      candidate ??= wanted;
      return {kind: 'voted', candidate};
    },
    concede(heir) {
      candidate = heir;
      promisedUntil = -Infinity;
    },
    get candidate() {
      return candidate;
    },
    computeWait,
  };
}

/** A holder's right to act in its view. */
export interface HolderRight {
  notePromise(standby: string, askedAt: number): void;
  /** Votes for the holder itself make its right permanent. */
  noteOwned(): void;
  /** A standby has taken over, or this instance gave the view up. */
  noteLost(): void;
  readonly isLost: boolean;
  readonly isOwned: boolean;
  /**
   * Whether a grant made now is dead before anyone else may act: a successor
   * then need not wait for old grants.
   */
  canGrant(now: number): boolean;
  listPromises(now: number): Record<string, number>;
}

/** For the holder of `view`. */
export function createHolderRight(view: RateView): HolderRight {
  const promises = new Map<string, number>();
  let lost = false;
  let owned = view.members.length === 1;

  return {
    notePromise(standby, askedAt) {
      const until = askedAt + PROMISE_MS;
      promises.set(standby, Math.max(until, promises.get(standby) ?? until));
    },
    noteOwned() {
      owned = true;
    },
    noteLost() {
      lost = true;
    },
    get isLost() {
      return lost;
    },
    get isOwned() {
      return owned;
    },
    canGrant(now) {
      if (lost) return false;
      if (owned) return true;
      const needed = now + GRANT_LIFETIME_MS + CLOCK_MARGIN_MS;
      return [...promises.values()].some(until => until >= needed);
    },
    listPromises: now =>
      Object.fromEntries(
        [...promises].map(([standby, until]) => [standby, until - now]),
      ),
  };
}

/** Whether these votes make `candidate` the only one who may act in a view. */
export function isElected(
  view: RateView,
  candidate: string,
  votes: ReadonlyMap<string, string>,
): boolean {
  const voters = view.members
    .map(({incarnation}) => incarnation)
    .filter(member => votes.get(member) === candidate);
  const [holder, ...standbys] = view.members;
  if (standbys.length >= 2) return voters.length >= 2;
  // With one standby the holder cannot act without its promise.
  const only = standbys[0]?.incarnation ?? holder.incarnation;
  return voters.includes(only);
}
