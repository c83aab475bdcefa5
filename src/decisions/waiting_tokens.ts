/**
 * How much batch work an account may have waiting on a route, over the fleet.
 *
 * Pattern of load: one account hands in bundles faster than the fleet works
 * them off. Without a bound its backlog grows until all bundles are late, its
 * own first ones included; refused at once, its callers know to come back.
 *
 * What is reckoned with may be too high, never too low: a bundle counts whole
 * until somebody looks how much of it is done. So a bundle that fits by this
 * sum fits, and only one that does not is worth looking closer for.
 */

import * as z from 'zod';

/** One accepted bundle, or one about to be. */
export const waitingBundleSchema = z.object({
  /** Tokens of all its items. */
  tokens: z.number(),
  /** Of those, what was not listed yet when somebody last looked. */
  left: z.number(),
  /** Shared time at which it was entered, in ms. */
  at: z.number(),
});

/** By the bundle's id. */
export const waitingBundlesSchema = z.record(z.string(), waitingBundleSchema);

/** Type of the schema of the same name. */
export type WaitingBundle = z.infer<typeof waitingBundleSchema>;
/** Type of the schema of the same name. */
export type WaitingBundles = z.infer<typeof waitingBundlesSchema>;

/** What the store says of a bundle; undefined: it is not there. */
export type BundleView =
  {isOpen: boolean; total: number; listed: number} | undefined;

/** Longest time from entering a bundle to the write that makes it, in ms. */
export const ENTRY_GRACE_MS = 10_000;

/** Whether a bundle fits beside the others; one entered before counts once. */
export function isFitting(
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
 * An entry after a look at its bundle; undefined when it counts no longer. A
 * bundle that is not there may still come into being until ENTRY_GRACE_MS after
 * it was entered: a write whose answer was lost takes effect late.
 */
export function updateEntry(
  entry: WaitingBundle,
  seen: BundleView,
  now: number,
): WaitingBundle | undefined {
  if (!seen) return now - entry.at < ENTRY_GRACE_MS ? entry : undefined;
  if (!seen.isOpen) return undefined;
  const {total, listed} = seen;
  const left = Math.ceil((entry.tokens * (total - listed)) / total);
  return {...entry, left};
}
