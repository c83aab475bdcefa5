/**
 * Requests of one account that wait on one instance for tokens of its bucket.
 *
 * Load pattern: many requests at once, an account over its rate, and a holder
 * that is lost while requests wait. Without it each request asks the holder by
 * itself, an account at five times its rate costs five messages for one answer,
 * and every request that meets the change of a holder is refused. Here one
 * message is under way at a time and asks for all that wait; a refusal is
 * remembered until the next token is due; while the bucket changes hands
 * requests wait a bounded time.
 *
 * A request is refused as soon as it is clear that it will get no token in
 * time: nobody is held back longer than that.
 */
import type {BucketGrant} from './rate_bucket.js';
import {
  CLOCK_MARGIN_MS,
  GRANT_LIFETIME_MS,
  MAX_DRAW,
  MAX_REFUSAL_MEMORY_MS,
  MAX_TAKEOVER_WAIT_MS,
  MAX_WAITING,
} from './rate_constants.js';

/** Why a request was refused. */
export type RateRefusal = 'over-rate' | 'holder-unavailable';

/** What the instance must do. */
export type MemberAction =
  /** Ask the holder for tokens. */
  | {kind: 'draw'; wanted: number}
  | {kind: 'grant'; id: number}
  | {kind: 'refuse'; id: number; reason: RateRefusal; retryAfterMs: number}
  /** Tell the holder that a grant is finished. */
  | {kind: 'settle'; grantId: number; unspent: number};

/** The holder's answer, or that there was none. */
export type DrawAnswer =
  | {kind: 'granted'; grant: BucketGrant; recovering: boolean}
  | {kind: 'unavailable'; retryAfterMs: number};

/** Requests waiting for tokens of one bucket. */
export interface RateMember {
  submit(id: number, now: number): MemberAction[];
  /** `askedAt` is when the draw was sent. */
  noteAnswer(answer: DrawAnswer, askedAt: number, now: number): MemberAction[];
  /** Time has passed. */
  decide(now: number): MemberAction[];
  /** When `decide` has something to do next. */
  peekNext(): number | undefined;
  isIdle(): boolean;
}

interface Waiting {
  id: number;
  arrivedAt: number;
}

interface DelayedToken extends Waiting {
  dueAt: number;
  expiresAt: number;
  grant: OpenGrant;
}

interface OpenGrant {
  id: number;
  left: number;
  unspent: number;
}

/** Starts with nothing waiting. */
export function createRateMember(): RateMember {
  let waiting: Waiting[] = [];
  let delayed: DelayedToken[] = [];
  let drawing = false;
  let askedFor = 0;
  let drawAt: number | undefined;
  let refusedUntil = -Infinity;
  let unavailable = false;

  function refuse(
    {id}: Waiting,
    reason: RateRefusal,
    retryAfterMs: number,
  ): MemberAction {
    return {kind: 'refuse', id, reason, retryAfterMs};
  }

  function planDraw(): MemberAction[] {
    if (drawing || waiting.length === 0) return [];
    drawing = true;
    drawAt = undefined;
    askedFor = Math.min(waiting.length, MAX_DRAW);
    return [{kind: 'draw', wanted: askedFor}];
  }

  function finishToken(grant: OpenGrant, spent: boolean): MemberAction[] {
    grant.left--;
    if (!spent) grant.unspent++;
    if (grant.left > 0) return [];
    return [{kind: 'settle', grantId: grant.id, unspent: grant.unspent}];
  }

  /** A token past its lifetime is dead: its request waits for another. */
  function finishDelayed(token: DelayedToken, now: number): MemberAction[] {
    const {id, arrivedAt, grant} = token;
    if (now <= token.expiresAt) {
      return [{kind: 'grant', id}, ...finishToken(grant, true)];
    }
    waiting.unshift({id, arrivedAt});
    return finishToken(grant, false);
  }

  function placeTokens(
    granted: BucketGrant,
    askedAt: number,
    now: number,
  ): MemberAction[] {
    const count = granted.immediate + granted.delayed;
    const takers = waiting.splice(0, count);
    const grant: OpenGrant = {
      id: granted.id,
      left: takers.length,
      unspent: count - takers.length,
    };
    const tokens = takers.map((taker, index): DelayedToken => {
      const place = index - granted.immediate;
      const delay =
        place < 0 ? 0 : granted.firstDelayMs + place * granted.spacingMs;
      const expiresAt = askedAt + GRANT_LIFETIME_MS - CLOCK_MARGIN_MS;
      return {...taker, dueAt: now + delay, expiresAt, grant};
    });
    delayed.push(...tokens.filter(({dueAt}) => dueAt > now));
    const due = tokens.filter(({dueAt}) => dueAt <= now);
    const actions = due.flatMap(token => finishDelayed(token, now));
    if (takers.length === 0 && count > 0) {
      actions.push({kind: 'settle', grantId: granted.id, unspent: count});
    }
    return actions;
  }

  /** Those left over wait only for a holder that has just taken over. */
  function noteShortage(
    retryAfterMs: number,
    recovering: boolean,
    asked: number,
    now: number,
  ): MemberAction[] {
    if (asked <= 0) return [];
    if (recovering) {
      drawAt = now + retryAfterMs;
      return [];
    }
    refusedUntil = now + Math.min(retryAfterMs, MAX_REFUSAL_MEMORY_MS);
    const left = waiting.splice(0, asked);
    return left.map(one => refuse(one, 'over-rate', retryAfterMs));
  }

  function refuseOverdue(now: number): MemberAction[] {
    const overdue = waiting.filter(
      ({arrivedAt}) => now - arrivedAt >= MAX_TAKEOVER_WAIT_MS,
    );
    if (overdue.length === 0) return [];
    waiting = waiting.filter(one => !overdue.includes(one));
    const reason = unavailable ? 'holder-unavailable' : 'over-rate';
    return overdue.map(one => refuse(one, reason, 1000));
  }

  function finishDue(now: number): MemberAction[] {
    const due = delayed.filter(({dueAt}) => dueAt <= now);
    if (due.length === 0) return [];
    delayed = delayed.filter(({dueAt}) => dueAt > now);
    return due.flatMap(token => finishDelayed(token, now));
  }

  return {
    submit(id, now) {
      const one = {id, arrivedAt: now};
      if (now < refusedUntil) {
        return [refuse(one, 'over-rate', refusedUntil - now)];
      }
      if (waiting.length >= MAX_WAITING) {
        const reason = unavailable ? 'holder-unavailable' : 'over-rate';
        return [refuse(one, reason, 1000)];
      }
      waiting.push(one);
      return drawAt === undefined ? planDraw() : [];
    },
    noteAnswer(answer, askedAt, now) {
      drawing = false;
      unavailable = answer.kind === 'unavailable';
      const actions: MemberAction[] = [];
      if (answer.kind === 'unavailable') {
        drawAt = now + answer.retryAfterMs;
      } else {
        const {grant, recovering} = answer;
        const count = grant.immediate + grant.delayed;
        actions.push(...placeTokens(grant, askedAt, now));
        const short = askedFor - count;
        actions.push(
          ...noteShortage(grant.retryAfterMs, recovering, short, now),
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
    isIdle: () => waiting.length === 0 && delayed.length === 0 && !drawing,
  };
}
