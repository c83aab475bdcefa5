/**
 * The token bucket of one client account, kept by its holder.
 *
 * Load pattern: one account's requests arrive at many instances at once, now
 * and then at several times its rate. Dividing the rate over instances refuses
 * most of an unevenly spread account's requests although it is inside its rate;
 * not dividing it lets every instance spend the whole. So one bucket is kept,
 * and instances draw a token for each request.
 *
 * What it keeps: tokens + grants that may still be unspent <= burst. So over
 * any window the fleet spends at most what was unspent at its start, <= burst,
 * and what was earned in it, <= rate x t. Thresholds are in rate_constants.ts.
 *
 * A token may be granted before it is earned, with the delay until it is: the
 * caller waits up to MAX_TOKEN_DELAY_MS in line instead of being refused and
 * asking again. Such grants are limited to a burst in all, which keeps earning
 * from being blocked while a debt is open; each is then earned when due.
 */
import {
  CLOCK_MARGIN_MS,
  GRANT_LIFETIME_MS,
  MAX_TOKEN_DELAY_MS,
} from './rate_constants.js';

/** Rate and burst of a document's version. */
export interface BucketLimits {
  version: number;
  /** Tokens a second. */
  rate: number;
  burst: number;
}

/** Tokens lent to one instance; all are spent or settled within a lifetime. */
export interface BucketGrant {
  /** Names the grant when it is settled. */
  id: number;
  /** Tokens that may be spent at once. */
  immediate: number;
  /** Tokens that may be spent later, one after another. */
  delayed: number;
  /** When the first delayed one is earned, from now. */
  firstDelayMs: number;
  /** Time between two delayed ones. */
  spacingMs: number;
  /** When to ask again for tokens that were not granted. */
  retryAfterMs: number;
}

/** A bucket under way. Every method takes the holder's monotonic time. */
export interface RateBucket {
  /** Takes the limits of a newer version; older ones are ignored. */
  setLimits(limits: BucketLimits, now: number): void;
  draw(wanted: number, now: number): BucketGrant;
  /** The grant is finished; `unspent` of its tokens come back. */
  settle(grantId: number, unspent: number, now: number): void;
  /** For the holder after this one. */
  readLevel(now: number): BucketLevel;
  /** Sets tokens aside for a successor; returns how many are set aside. */
  reserve(wanted: number, now: number): number;
  /** Takes tokens back that were set aside. */
  releaseReserve(now: number): void;
  readonly reserved: number;
  describe(now: number): object;
}

interface Grant {
  tokens: number;
  expiresAt: number;
}

const ROUNDING = 1e-6;

/** What a bucket starts with. */
export interface BucketLevel {
  tokens: number;
  /** Lent by the holder before and perhaps not spent yet. */
  lent: number;
}

/** Starts with `level` at `now`. */
export function createRateBucket(
  initial: BucketLimits,
  level: BucketLevel,
  now: number,
): RateBucket {
  let limits = initial;
  let tokens = Math.min(level.tokens, limits.burst - level.lent);
  let filledAt = now;
  let lent = 0;
  let reserved = 0;
  let nextGrantId = 1;
  const grants = new Map<number, Grant>();
  if (level.lent > 0) grantTokens(level.lent, now);
  tokens += level.lent;

  /** Grants expire in the order they were made: all live equally long. */
  function expireGrants(at: number) {
    for (const [id, grant] of grants) {
      if (grant.expiresAt > at) return;
      grants.delete(id);
      lent -= grant.tokens;
    }
  }

  /**
   * What is lent or set aside leaves no room: earning for it as well would let
   * a burst of old grants meet a full bucket.
   */
  function refill(at: number) {
    const earned = (Math.max(0, at - filledAt) / 1000) * limits.rate;
    const room = limits.burst - lent - reserved;
    tokens = Math.max(tokens, Math.min(tokens + earned, room));
    filledAt = Math.max(filledAt, at);
    expireGrants(at);
  }

  /** Of `wanted` more, when `taken` are granted at once. */
  function countDelayed(wanted: number, taken: number): number {
    const debt = (limits.rate * MAX_TOKEN_DELAY_MS) / 1000;
    const earnedSoon = Math.floor(tokens - taken + debt + ROUNDING);
    const room = Math.floor(limits.burst - lent - taken - reserved);
    return Math.max(0, Math.min(wanted, earnedSoon, room));
  }

  function computeRetryAfter(): number {
    const debt = (limits.rate * MAX_TOKEN_DELAY_MS) / 1000;
    const missing = Math.max(0, 1 - debt - tokens);
    return Math.max(1, (missing / limits.rate) * 1000);
  }

  function grantTokens(count: number, at: number): number {
    const id = nextGrantId++;
    if (count === 0) return id;
    tokens -= count;
    lent += count;
    const expiresAt = at + GRANT_LIFETIME_MS + CLOCK_MARGIN_MS;
    grants.set(id, {tokens: count, expiresAt});
    return id;
  }

  return {
    setLimits(next, at) {
      if (next.version <= limits.version) return;
      refill(at);
      limits = next;
      tokens = Math.min(tokens, limits.burst - lent - reserved);
    },
    draw(wanted, at) {
      refill(at);
      const inHand = Math.max(0, Math.floor(tokens + ROUNDING));
      const immediate = Math.min(wanted, inHand);
      const delayed = countDelayed(wanted - immediate, immediate);
      const spacingMs = 1000 / limits.rate;
      const firstDelayMs = Math.max(0, (1 - (tokens - immediate)) * spacingMs);
      const id = grantTokens(immediate + delayed, at);
      const retryAfterMs = computeRetryAfter();
      return {id, immediate, delayed, firstDelayMs, spacingMs, retryAfterMs};
    },
    settle(grantId, unspent, at) {
      refill(at);
      const grant = grants.get(grantId);
      if (!grant) return;
      grants.delete(grantId);
      lent -= grant.tokens;
      tokens += Math.max(0, Math.min(unspent, grant.tokens));
    },
    readLevel(at) {
      refill(at);
      return {tokens: tokens + reserved, lent};
    },
    reserve(wanted, at) {
      refill(at);
      const moved = Math.min(wanted, Math.max(0, Math.floor(tokens)));
      tokens -= moved;
      reserved += moved;
      return reserved;
    },
    releaseReserve(at) {
      refill(at);
      tokens += reserved;
      reserved = 0;
    },
    get reserved() {
      return reserved;
    },
    describe(at) {
      refill(at);
      return {...limits, tokens, lent, reserved, grants: grants.size};
    },
  };
}
