/**
 * Queues the requests of one account that wait on one instance for tokens of
 * its bucket.
 *
 * Load pattern: many simultaneous requests, an account above its rate, and a
 * holder that is lost while requests wait. Without this queue, each request
 * asks the holder by itself, an account at five times its rate costs five
 * messages for each answered request, and every request that arrives during a
 * change of holder is refused.
 *
 * At most one message is in flight at a time and asks for all waiting requests.
 * A refusal is remembered until the next token is due. While the bucket moves
 * to another holder, requests wait for a bounded time. A request is refused as
 * soon as it is certain that it gets no token in time.
 */
import type {BucketGrant} from './rate_bucket.js';
import {
  CLOCK_MARGIN_MS,
  GRANT_LIFETIME_MS,
  MAX_DRAW,
  MAX_REFUSAL_CACHE_MS,
  MAX_TAKEOVER_WAIT_MS,
  MAX_WAITING,
} from './rate_constants.js';

/** Why a request was refused. */
export type RateRefusal = 'over-rate' | 'holder-unavailable';

/** An action that the instance must carry out. */
export type TokenQueueAction =
  /** Ask the holder for tokens. */
  | {kind: 'draw'; wanted: number}
  | {kind: 'grant'; id: number}
  | {kind: 'refuse'; id: number; reason: RateRefusal; retryAfterMs: number}
  /** Notify the holder that a grant is finished. */
  | {kind: 'settle'; grantId: number; unspent: number};

/** The holder's response, or `unavailable` if there was none. */
export type DrawAnswer =
  | {kind: 'granted'; grant: BucketGrant; recovering: boolean}
  | {kind: 'unavailable'; retryAfterMs: number};

/** The requests on one instance that wait for tokens of one bucket. */
export interface TokenQueue {
  submit(id: number, now: number): TokenQueueAction[];
  /** Records the response to a draw that was sent at `askedAt`. */
  noteAnswer(
    answer: DrawAnswer,
    askedAt: number,
    now: number,
  ): TokenQueueAction[];
  /** Makes the decisions that depend on time. */
  decide(now: number): TokenQueueAction[];
  /** Returns when `decide` must be called next; undefined if it need not. */
  peekNext(): number | undefined;
  isIdle(): boolean;
}

interface WaitingRequest {
  id: number;
  arrivedAt: number;
}

interface DelayedToken extends WaitingRequest {
  dueAt: number;
  expiresAt: number;
  grant: OpenGrant;
}

interface OpenGrant {
  id: number;
  remaining: number;
  unspent: number;
}

/** Creates an empty queue. */
export function createTokenQueue(): TokenQueue {
  let waiting: WaitingRequest[] = [];
  let delayed: DelayedToken[] = [];
  let isDrawing = false;
  let requestedCount = 0;
  let drawAt: number | undefined;
  let refusedUntil = -Infinity;
  let isUnavailable = false;

  function refuse(
    {id}: WaitingRequest,
    reason: RateRefusal,
    retryAfterMs: number,
  ): TokenQueueAction {
    return {kind: 'refuse', id, reason, retryAfterMs};
  }

  function planDraw(): TokenQueueAction[] {
    if (isDrawing || waiting.length === 0) return [];
    isDrawing = true;
    drawAt = undefined;
    requestedCount = Math.min(waiting.length, MAX_DRAW);
    return [{kind: 'draw', wanted: requestedCount}];
  }

  function finishToken(grant: OpenGrant, spent: boolean): TokenQueueAction[] {
    grant.remaining--;
    if (!spent) grant.unspent++;
    if (grant.remaining > 0) return [];
    return [{kind: 'settle', grantId: grant.id, unspent: grant.unspent}];
  }

  /**
   * Uses a token that is due. If it has expired, its request waits for another.
   */
  function finishDelayed(token: DelayedToken, now: number): TokenQueueAction[] {
    const {id, arrivedAt, grant} = token;
    if (now <= token.expiresAt) {
      return [{kind: 'grant', id}, ...finishToken(grant, true)];
    }
    waiting.unshift({id, arrivedAt});
    return finishToken(grant, false);
  }

  function assignTokens(
    granted: BucketGrant,
    askedAt: number,
    now: number,
  ): TokenQueueAction[] {
    const count = granted.immediate + granted.delayed;
    const requests = waiting.splice(0, count);
    const grant: OpenGrant = {
      id: granted.id,
      remaining: requests.length,
      unspent: count - requests.length,
    };
    const tokens = requests.map((request, index): DelayedToken => {
      const delayedIndex = index - granted.immediate;
      const delay =
        delayedIndex < 0
          ? 0
          : granted.firstDelayMs + delayedIndex * granted.spacingMs;
      const expiresAt = askedAt + GRANT_LIFETIME_MS - CLOCK_MARGIN_MS;
      return {...request, dueAt: now + delay, expiresAt, grant};
    });
    delayed.push(...tokens.filter(({dueAt}) => dueAt > now));
    const due = tokens.filter(({dueAt}) => dueAt <= now);
    const actions = due.flatMap(token => finishDelayed(token, now));
    if (requests.length === 0 && count > 0) {
      actions.push({kind: 'settle', grantId: granted.id, unspent: count});
    }
    return actions;
  }

  /** Requests without a token wait only if the holder has just taken over. */
  function noteShortage(
    retryAfterMs: number,
    recovering: boolean,
    unservedCount: number,
    now: number,
  ): TokenQueueAction[] {
    if (unservedCount <= 0) return [];
    if (recovering) {
      drawAt = now + retryAfterMs;
      return [];
    }
    refusedUntil = now + Math.min(retryAfterMs, MAX_REFUSAL_CACHE_MS);
    const left = waiting.splice(0, unservedCount);
    return left.map(request => refuse(request, 'over-rate', retryAfterMs));
  }

  function refuseOverdue(now: number): TokenQueueAction[] {
    const overdue = waiting.filter(
      ({arrivedAt}) => now - arrivedAt >= MAX_TAKEOVER_WAIT_MS,
    );
    if (overdue.length === 0) return [];
    waiting = waiting.filter(request => !overdue.includes(request));
    const reason = isUnavailable ? 'holder-unavailable' : 'over-rate';
    return overdue.map(request => refuse(request, reason, 1000));
  }

  function finishDue(now: number): TokenQueueAction[] {
    const due = delayed.filter(({dueAt}) => dueAt <= now);
    if (due.length === 0) return [];
    delayed = delayed.filter(({dueAt}) => dueAt > now);
    return due.flatMap(token => finishDelayed(token, now));
  }

  return {
    submit(id, now) {
      const request = {id, arrivedAt: now};
      if (now < refusedUntil) {
        return [refuse(request, 'over-rate', refusedUntil - now)];
      }
      if (waiting.length >= MAX_WAITING) {
        const reason = isUnavailable ? 'holder-unavailable' : 'over-rate';
        return [refuse(request, reason, 1000)];
      }
      waiting.push(request);
      return drawAt === undefined ? planDraw() : [];
    },
    noteAnswer(answer, askedAt, now) {
      isDrawing = false;
      isUnavailable = answer.kind === 'unavailable';
      const actions: TokenQueueAction[] = [];
      if (answer.kind === 'unavailable') {
        drawAt = now + answer.retryAfterMs;
      } else {
        const {grant, recovering} = answer;
        const count = grant.immediate + grant.delayed;
        actions.push(...assignTokens(grant, askedAt, now));
        const unserved = requestedCount - count;
        actions.push(
          ...noteShortage(grant.retryAfterMs, recovering, unserved, now),
        );
      }
      actions.push(...refuseOverdue(now));
      if (drawAt === undefined) actions.push(...planDraw());
      return actions;
    },
    decide(now) {
      const actions = [...finishDue(now), ...refuseOverdue(now)];
      if (drawAt !== undefined && drawAt <= now) drawAt = undefined;
      if (drawAt === undefined) actions.push(...planDraw());
      return actions;
    },
    peekNext() {
      const times = delayed.map(({dueAt}) => dueAt);
      if (drawAt !== undefined) times.push(drawAt);
      if (waiting.length > 0) {
        times.push(waiting[0].arrivedAt + MAX_TAKEOVER_WAIT_MS);
      }
      return times.length > 0 ? Math.min(...times) : undefined;
    },
    isIdle: () => waiting.length === 0 && delayed.length === 0 && !isDrawing,
  };
}
