/**
 * Whether an instance must leave dispatching to others because it no longer
 * hears which endpoints come and go.
 *
 * Pattern of load: endpoints are replaced one after the other while the store
 * turns some instances away. A dispatcher among these goes on granting slots of
 * endpoints that have left and none of new ones: every request of the pool is
 * refused or goes round, although most instances know better. It steps down
 * once a peer reports that the store answers there; while the store is away
 * for all, nobody steps down.
 */

/**
 * A report counts when it was asked for so long after this instance lost the
 * store, in ms: a peer needs up to 1.6 s to notice a store that went silent,
 * and until then still says that it answers.
 */
export const BLIND_AFTER_MS = 2000;

/** What a peer said of the store, and when it was asked, in ms. */
export interface StoreReport {
  storeReachable: boolean;
  askedAt: number;
}

/** `lostAt` is when the store stopped to answer here; undefined if it does. */
export function isBlind(
  lostAt: number | undefined,
  reports: readonly StoreReport[],
): boolean {
  if (lostAt === undefined) return false;
  return reports.some(
    ({storeReachable, askedAt}) =>
      storeReachable && askedAt >= lostAt + BLIND_AFTER_MS,
  );
}
