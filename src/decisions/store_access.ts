/**
 * Decides whether an instance without store access must leave dispatching to
 * others, because it no longer learns which endpoints come and go.
 *
 * Load pattern: endpoints are replaced one after the other while the store
 * refuses some instances. A dispatcher among these would continue to grant
 * slots of endpoints that have left and none of new ones. Every request of the
 * pool is then refused or passed on, although most instances know the current
 * endpoints.
 *
 * The dispatcher steps down once a peer reports that the store answers it.
 * While the store is unavailable to all instances, none steps down.
 */

/**
 * A peer's report counts if it was requested at least this long after this
 * instance lost the store, in ms. A peer needs up to 1.6 s to detect that the
 * store became silent, and still reports until then that it answers.
 */
export const STORE_LOSS_DETECTION_MS = 2000;

/** A peer's report on the store and when it was requested, in ms. */
export interface StoreReport {
  storeReachable: boolean;
  askedAt: number;
}

/**
 * Whether the store refuses this instance but answers a peer. `lostAt` is when
 * it stopped answering here; undefined if it still does.
 */
export function hasLostStoreAccess(
  lostAt: number | undefined,
  reports: readonly StoreReport[],
): boolean {
  if (lostAt === undefined) return false;
  return reports.some(
    ({storeReachable, askedAt}) =>
      storeReachable && askedAt >= lostAt + STORE_LOSS_DETECTION_MS,
  );
}
