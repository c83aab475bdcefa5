/**
 * Converts ranks into weights.
 *
 * Load pattern: callers of several ranks compete for a pool that is too small.
 * In strict order of ranks, the last rank gets nothing as long as the first
 * needs every slot. As shares, each rank keeps a part.
 */

/** Weights of ranks 0, 1, and 2 and above. */
const RANK_WEIGHTS = [4, 2, 1];

/** Returns the weight of a rank; rank 0 has the largest. */
export function computeRankWeight(rank: number): number {
  const last = RANK_WEIGHTS.length - 1;
  return RANK_WEIGHTS[Math.min(last, Math.max(0, Math.floor(rank)))];
}
