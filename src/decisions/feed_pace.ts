/**
 * Decides how long the platform's store may hold a call for changes open, and
 * when the call is repeated.
 *
 * Load pattern: every instance follows the same few tables, most of which
 * seldom change. Connections become silent without a reset, and the store fails
 * and recovers. If all calls are held briefly, the calls of an idle fleet grow
 * with its size and cost more than its work. If they are held long, a silent
 * connection hides changes.
 *
 * One table, the sentinel, is polled often. When its connection is found
 * silent, or the store recovers, every other feed is polled at once. So the
 * other feeds may be held for as long as a change may take to be noticed.
 */

/** Longest hold of the sentinel feed, in ms. */
export const SENTINEL_HOLD_MS = 1000;

/** Delay of a response beyond its hold that counts as silence, in ms. */
export const FEED_GRACE_MS = 600;

/**
 * Hold of feeds that only this product's instances write to, in ms. Peers also
 * report which instances are alive and which bundles are open.
 */
export const OWN_HOLD_MS = 5000;

/** Shortest hold, in ms; below it a feed is no better than polling. */
const MIN_HOLD_MS = 400;

/** Mean pause before a failed sentinel feed is polled again, in ms. */
const SENTINEL_RETRY_MS = 500;
/** Pause before any other failed feed is polled again, in ms. */
const RETRY_MS = 100;

/** Purpose of a feed: `own` feeds are written to only by this product. */
export type FeedRole = 'sentinel' | 'bounded' | 'own';

/**
 * Computes the hold of a feed in ms. `boundMs` is the time within which a
 * change must be noticed, also on a silent connection.
 */
export function computeHoldMs(role: FeedRole, boundMs: number): number {
  const bounded = Math.max(MIN_HOLD_MS, boundMs - FEED_GRACE_MS);
  const holds: Record<FeedRole, number> = {
    sentinel: Math.min(SENTINEL_HOLD_MS, bounded),
    bounded,
    own: OWN_HOLD_MS,
  };
  return holds[role];
}

/**
 * Computes the pause after a failure in ms. Each instance's sentinel retries
 * while the store is unavailable. Its pause is 0.5 to 1.5 times the mean, by a
 * random `draw` from 0 to 1, so that instances do not retry at the same time.
 */
export function computeRetryPause(role: FeedRole, draw: number): number {
  return role === 'sentinel' ? SENTINEL_RETRY_MS * (0.5 + draw) : RETRY_MS;
}
