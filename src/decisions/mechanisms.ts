/**
 * The scheduler's mechanisms by name, each of which can be switched off, so
 * that `npm run measure -- --ablate` shows what each is worth. Operators cannot
 * reach these switches: the product runs with all of them on.
 */

/** Whether each mechanism is at work. */
export interface Mechanisms {
  /** Turns between accounts; off: one queue by deadline. */
  fairShares: boolean;
  /** Refusal of what cannot be in time; off: everything waits. */
  admission: boolean;
  /** Choice by predicted first token; off: fewest requests. */
  prediction: boolean;
  /** Cached prefixes count in the prediction. */
  prefixAffinity: boolean;
  /** Little prefill in advance inside engines; off: as many as have slots. */
  backlogBound: boolean;
  /** Limits learned below the document's. */
  learnedLimit: boolean;
  /** Slow, failing and silent endpoints get no new work. */
  ejection: boolean;
  /** Endpoints that fail a part of their requests count as failing. */
  failureShares: boolean;
  /** Endpoints kept free of batch prefill. */
  quietEndpoints: boolean;
  /** Slots kept free of batch work. */
  headroom: boolean;
  /** Batch items stop when questions need their slots. */
  slotYields: boolean;
  /** Requests that can be in time go before those that cannot any more. */
  overdueLast: boolean;
}

/** What the product runs with. */
export const ALL_MECHANISMS: Readonly<Mechanisms> = {
  fairShares: true,
  admission: true,
  prediction: true,
  prefixAffinity: true,
  backlogBound: true,
  learnedLimit: true,
  ejection: true,
  failureShares: true,
  quietEndpoints: true,
  headroom: true,
  slotYields: true,
  overdueLast: true,
};
