/**
 * The token bucket of one client account, maintained by its holder.
 *
 * Load pattern: requests of one account arrive at many instances at once, at
 * times at several times its rate. If the rate is divided among the instances,
 * an account with unevenly distributed requests has most of them refused
 * although it is within its rate. If it is not divided, every instance spends
 * the full rate. So there is one bucket, and instances draw a token from it
 * for each request.
 *
 * Invariant: tokens + grants that may still be unspent <= burst. So in any
 * window the fleet spends at most what was unspent at its start (<= burst) and
 * what was earned in it (<= rate x t). Thresholds are in rate_constants.ts.
 *
 * A token may be granted before it is earned, together with the delay until
 * then. The caller waits up to MAX_TOKEN_DELAY_MS instead of being refused and
 * retrying. Such grants are limited to one burst in total, so that an open debt
 * does not block earning; each of them is earned when it is due.
 */
import {
  CLOCK_MARGIN_MS,
  GRANT_LIFETIME_MS,
  MAX_TOKEN_DELAY_MS,
} from './rate_constants.js';

/** Rate and burst from one version of a document. */
export interface BucketLimits {
  version: number;
  /** Tokens per second. */
  rate: number;
  burst: number;
}

/** Tokens lent to one instance, spent or settled within GRANT_LIFETIME_MS. */
export interface BucketGrant {
  /** Identifies the grant when it is settled. */
  id: number;
  /** Tokens that may be spent at once. */
  immediate: number;
  /** Tokens that may be spent later, one after the other. */
  delayed: number;
  /** Time until the first delayed token is earned. */
  firstDelayMs: number;
  /** Time between two delayed tokens. */
  spacingMs: number;
  /** Time after which to ask again for tokens that were not granted. */
  retryAfterMs: number;
}

/** An active bucket. All times are of the holder's monotonic clock, in ms. */
export interface RateBucket {
  /** Applies the limits of a newer version; older versions are ignored. */
  setLimits(limits: BucketLimits, now: number): void;
  draw(wanted: number, now: number): BucketGrant;
  /** Finishes a grant and returns its `unspent` tokens to the bucket. */
  settle(grantId: number, unspent: number, now: number): void;
  /** Returns the level that is handed to the next holder. */
  readLevel(now: number): BucketLevel;
  /**
   * Reserves tokens for a successor; returns how many are reserved in total.
   */
  reserve(wanted: number, now: number): number;
  /** Returns all reserved tokens to the bucket. */
  releaseReserve(now: number): void;
  readonly reserved: number;
  describe(now: number): object;
}

interface Grant {
  tokens: number;
  expiresAt: number;
}

const ROUNDING = 1e-6;

/** The level at which a bucket starts. */
export interface BucketLevel {
  tokens: number;
  /** Tokens that the previous holder lent and that may still be unspent. */
  lent: number;
}

/** Creates a bucket with `level` at time `now`. */
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

  /**
   * Grants expire in the order of their creation, as all have the same
   * lifetime.
   */
  function expireGrants(at: number) {
    for (const [id, grant] of grants) {
      if (grant.expiresAt > at) return;
      grants.delete(id);
      lent -= grant.tokens;
    }
  }

  /**
   * Adds earned tokens. Lent and reserved tokens count as part of the burst. If
   * they did not, old grants of up to a burst could be spent in addition to a
   * full bucket.
   */
  function refill(at: number) {
    const earned = (Math.max(0, at - filledAt) / 1000) * limits.rate;
    const room = limits.burst - lent - reserved;
    tokens = Math.max(tokens, Math.min(tokens + earned, room));
    filledAt = Math.max(filledAt, at);
    expireGrants(at);
  }

  /**
   * Counts how many of `wanted` more may be delayed when `taken` are immediate.
   */
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
      const available = Math.max(0, Math.floor(tokens + ROUNDING));
      const immediate = Math.min(wanted, available);
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
      const reservedNow = Math.min(wanted, Math.max(0, Math.floor(tokens)));
      tokens -= reservedNow;
      reserved += reservedNow;
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
