/**
 * Decides who may act as holder of a set of buckets. This is the holder, backed
 * by promises of up to two standbys in other failure domains, or one of these
 * standbys after it.
 *
 * Load pattern: none; this handles the loss of a holder. Waiting for a table
 * lease of 30 s to expire would refuse all requests of its accounts for that
 * long, and during an outage of the store no lease can be renewed or taken over
 * at all. With these promises a standby takes over within PROMISE_MS, whether
 * the store is available or not.
 *
 * Safety: with two standbys, the holder acts on the promise of one of them, and
 * a standby takes over with the votes of both, or of itself and the holder.
 * With one standby, the holder needs its promise, and the standby needs no
 * other vote. Any two such sets share an instance, which votes once and does
 * not vote while its promise is valid. The promise is valid from the time of
 * the request by the holder's clock, and from the time of the response, which
 * is later, by the standby's clock.
 */
import {
  CLOCK_MARGIN_MS,
  GRANT_LIFETIME_MS,
  PROMISE_MS,
} from './rate_constants.js';

/** An instance in a view, identified by the incarnation of its process. */
export interface ViewMember {
  name: string;
  address: string;
  incarnation: string;
}

/** The holder and its standbys. Immutable; a change creates a new view. */
export interface RateView {
  /** Unique id: the holder's incarnation and a number. */
  run: string;
  /** The holder first, then its standbys. */
  members: ViewMember[];
}

/** A standby's response to a promise renewal. */
export type PromiseAnswer = {kind: 'promised'} | {kind: 'sealed'};

/** A view member's response to a vote request. */
export type VoteAnswer =
  | {kind: 'voted'; candidate: string}
  /** A promise is still valid. */
  | {kind: 'wait'; retryAfterMs: number};

/** A standby's promise and vote in one view. */
export interface StandbyVote {
  renew(now: number): PromiseAnswer;
  vote(candidate: string, now: number): VoteAnswer;
  /** Records that the holder itself transferred its right to `candidate`. */
  concede(candidate: string): void;
  readonly candidate: string | undefined;
  /** Returns the remaining time of the promise. */
  computeWait(now: number): number;
}

/** Creates a vote; `holder` is the incarnation that gets the promises. */
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
    vote(requested, now) {
      const retryAfterMs = computeWait(now);
      if (candidate === undefined && requested !== holder && retryAfterMs > 0) {
        return {kind: 'wait', retryAfterMs};
      }
      candidate ??= requested;
      return {kind: 'voted', candidate};
    },
    concede(successor) {
      candidate = successor;
      promisedUntil = -Infinity;
    },
    get candidate() {
      return candidate;
    },
    computeWait,
  };
}

/** The right of a holder to act in its view. */
export interface HolderRight {
  notePromise(standby: string, askedAt: number): void;
  /** Makes the right permanent, after votes for the holder itself. */
  notePermanent(): void;
  /** Ends the right: a standby took over, or this instance gave up the view. */
  noteLost(): void;
  readonly isLost: boolean;
  readonly isPermanent: boolean;
  /**
   * Whether a grant made now expires before anyone else may act. A successor
   * then need not wait for old grants.
   */
  canGrant(now: number): boolean;
  listPromises(now: number): Record<string, number>;
}

/** Creates the right of the holder of `view`. */
export function createHolderRight(view: RateView): HolderRight {
  const promises = new Map<string, number>();
  let isRightLost = false;
  let isRightOwned = view.members.length === 1;

  return {
    notePromise(standby, askedAt) {
      const until = askedAt + PROMISE_MS;
      promises.set(standby, Math.max(until, promises.get(standby) ?? until));
    },
    notePermanent() {
      isRightOwned = true;
    },
    noteLost() {
      isRightLost = true;
    },
    get isLost() {
      return isRightLost;
    },
    get isPermanent() {
      return isRightOwned;
    },
    canGrant(now) {
      if (isRightLost) return false;
      if (isRightOwned) return true;
      const needed = now + GRANT_LIFETIME_MS + CLOCK_MARGIN_MS;
      return [...promises.values()].some(until => until >= needed);
    },
    listPromises: now =>
      Object.fromEntries(
        [...promises].map(([standby, until]) => [standby, until - now]),
      ),
  };
}

/**
 * Whether these votes make `candidate` the only instance that may act in a
 * view.
 */
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
  // With one standby, its vote is enough: the holder cannot act without its
  // promise.
  const only = standbys[0]?.incarnation ?? holder.incarnation;
  return voters.includes(only);
}
