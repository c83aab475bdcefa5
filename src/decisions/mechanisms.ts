/**
 * The scheduler's mechanisms by name. Each can be switched off, so that
 * `npm run measure -- --ablate` shows its effect. Operators cannot change them:
 * in production all mechanisms are on.
 */

/** Which mechanisms are on. */
export interface Mechanisms {
  /** Fair shares of accounts; if off, one queue by deadline. */
  fairShares: boolean;
  /** Order by slots held while accounts compete; if off, by work granted. */
  slotShares: boolean;
  /** Spread retry times of an account's refused requests. */
  returnSchedule: boolean;
  /** Refusal of requests that cannot be in time; if off, all of them wait. */
  admission: boolean;
  /**
   * Choice by predicted first token; if off, by the fewest running requests.
   */
  prediction: boolean;
  /** The prediction takes cached prefixes into account. */
  prefixAffinity: boolean;
  /** Bounded prefill inside engines; if off, bounded only by their slots. */
  backlogBound: boolean;
  /** Learned concurrency limits below the document's. */
  learnedLimit: boolean;
  /** Ejection of slow, failing and silent endpoints. */
  ejection: boolean;
  /** Ejection of endpoints that fail a large share of their requests. */
  failureShares: boolean;
  /** Endpoints kept free of batch prefill. */
  quietEndpoints: boolean;
  /** Slots kept free of batch items. */
  headroom: boolean;
  /** Yields of batch items when online requests need their slots. */
  slotYields: boolean;
  /** Requests that can be in time go before those that no longer can. */
  overdueLast: boolean;
  /** Choice by the paces that endpoints report, and by their learned speeds. */
  reportedPace: boolean;
}

/** The configuration in production. */
export const ALL_MECHANISMS: Readonly<Mechanisms> = {
  fairShares: true,
  slotShares: true,
  returnSchedule: true,
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
  reportedPace: true,
};
