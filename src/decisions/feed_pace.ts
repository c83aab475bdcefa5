/**
 * How long a call for changes may be held by the platform's store, and when it is
 * asked again.
 *
 * Pattern of load: every instance follows the same few tables, most of which seldom
 * change; connections go silent without a reset, and the store goes away and
 * comes back. Held briefly by all, the calls of an idle fleet grow with its size
 * and cost more than its work; held long, a silent connection hides changes.
 * One table is asked often, the sentinel. When its connection is found silent, or
 * the store back, every other feed is asked again at once, so that these may be
 * held as long as a change alone may take to be noticed.
 */

/** Longest hold of the sentinel's calls, in ms. */
export const SENTINEL_HOLD_MS = 1000;

/** An answer that is later than its hold by this counts as silence, in ms. */
export const FEED_GRACE_MS = 600;

/**
 * Hold of feeds that only this product's instances write to, in ms: whether an
 * instance lives, and which bundles are open, is also told by peers.
 */
export const OWN_HOLD_MS = 5000;

/** Shortest hold, in ms: below it a feed is no better than polling. */
const MIN_HOLD_MS = 400;

/** Pauses before a feed that failed is asked again, in ms. */
const SENTINEL_RETRY_MS = 500;
const RETRY_MS = 100;

/** What a feed is for. */
export type FeedRole = 'sentinel' | 'bounded' | 'own';

/** In ms. `boundMs`: by when a change must be noticed, silences included. */
export function computeHold(role: FeedRole, boundMs: number): number {
  const bounded = Math.max(MIN_HOLD_MS, boundMs - FEED_GRACE_MS);
  const holds: Record<FeedRole, number> = {
    sentinel: Math.min(SENTINEL_HOLD_MS, bounded),
    bounded,
    own: OWN_HOLD_MS,
  };
  return holds[role];
}

/**
 * Pause after a failure, in ms. Each instance's sentinel asks on while the store is away;
 * drawn from half to one and a half, so that the fleet does not ask in step.
 */
export function computeRetryPause(role: FeedRole, draw: number): number {
  return role === 'sentinel' ? SENTINEL_RETRY_MS * (0.5 + draw) : RETRY_MS;
}
