/**
 * Bounds the batch work that an account may have waiting on a route in the
 * whole fleet.
 *
 * Load pattern: one account submits bundles faster than the fleet processes
 * them. Without a bound its backlog grows until all its bundles are late,
 * including the first ones. With it, excess bundles are refused at once and
 * callers know that they must retry later.
 *
 * The sum of waiting tokens may be too high but never too low: a bundle counts
 * in full until its progress is checked. So a bundle that fits by this sum does
 * fit, and progress has to be checked only for one that does not.
 */

import * as z from 'zod';

/** A bundle that is accepted or about to be. */
export const waitingBundleSchema = z.object({
  /** Tokens of all its items. */
  tokens: z.number(),
  /** Tokens of items whose results were not listed at the last check. */
  left: z.number(),
  /** Time of entry by the fleet's shared clock, in ms. */
  at: z.number(),
});

/** Entries by bundle id. */
export const waitingBundlesSchema = z.record(z.string(), waitingBundleSchema);

/** Type of `waitingBundleSchema`. */
export type WaitingBundle = z.infer<typeof waitingBundleSchema>;
/** Type of `waitingBundlesSchema`. */
export type WaitingBundles = z.infer<typeof waitingBundlesSchema>;

/** State of a bundle in the store; undefined if it does not exist. */
export type StoredBundleState =
  {isOpen: boolean; total: number; listed: number} | undefined;

/**
 * Longest time from the entry of a bundle to the write that creates it, in ms.
 */
export const ENTRY_GRACE_MS = 10_000;

/**
 * Whether a bundle fits beside the others; an existing entry of it is replaced.
 */
export function hasRoomFor(
  waiting: WaitingBundles,
  id: string,
  tokens: number,
  maxTokens: number,
): boolean {
  const others = Object.entries(waiting).filter(([held]) => held !== id);
  const sum = others.reduce((total, [, {left}]) => total + left, 0);
  return sum + tokens <= maxTokens;
}

/**
 * Updates an entry by the state of its bundle; undefined if it no longer
 * counts. A missing bundle may still be created until ENTRY_GRACE_MS after its
 * entry, since a write whose response was lost can take effect late.
 */
export function updateEntry(
  entry: WaitingBundle,
  seen: StoredBundleState,
  now: number,
): WaitingBundle | undefined {
  if (!seen) return now - entry.at < ENTRY_GRACE_MS ? entry : undefined;
  if (!seen.isOpen) return undefined;
  const {total, listed} = seen;
  const left = Math.ceil((entry.tokens * (total - listed)) / total);
  return {...entry, left};
}
