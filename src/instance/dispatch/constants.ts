/** Constants of dispatch. Times in ms. */

/**
 * Largest number of endpoints in one pool. One dispatcher handles every request
 * of its pool, so this bounds the work of one instance. Splitting endpoints too
 * early wastes slots, because a request can wait in one pool while another has
 * free ones: 42 endpoints stay in one pool, and 1,900 endpoints make 30 pools.
 */
export const MAX_POOL_ENDPOINTS = 64;

/** Interval at which the scheduler decides again while requests wait or run. */
export const DECIDE_INTERVAL_MS = 20;

/**
 * A dispatcher responds to a waiting request at least this often, if only with
 * `waiting`, so that its silence is noticed well before the deadline.
 */
export const ACQUIRE_POLL_MS = 250;

/** How much later than ACQUIRE_POLL_MS a response may arrive. */
export const ACQUIRE_GRACE_MS = 150;

/** How long the next dispatcher is used after one did not respond. */
export const DISPATCHER_COOLDOWN_MS = 1000;

/**
 * How long a dispatcher that announced its stop is skipped. By then the update
 * that it left has propagated. One that only stood down is soon used again.
 */
export const LEAVING_SKIP_MS = 3000;

/**
 * Largest number of dispatchers that may be silent to one instance at once.
 * With more, the fault is more likely on this instance, which then falls back
 * to its own share of the pool: if it became the dispatcher instead, it would
 * grant slots that the dispatchers it cannot reach grant as well.
 */
export const MAX_SILENT_DISPATCHERS = 2;

/** Time for which releases are collected before they are sent together. */
export const RELEASE_INTERVAL_MS = 10;

/** Interval at which each holder reports its slots to their dispatchers. */
export const REPORT_INTERVAL_MS = 2000;

/**
 * A slot that its holder has not reported for this long was granted in a
 * response that was lost, and is released. The period covers two reports, so
 * that one lost report does not free the slot of a running request.
 */
export const UNREPORTED_SLOT_MS = 3 * REPORT_INTERVAL_MS;

/**
 * Time without a request or report after which a holder that is not live is gone. It
 * reports its slots more often, also while it completes its requests to stop.
 */
export const HOLDER_SILENCE_MS = REPORT_INTERVAL_MS + 500;

/** Empty reports that a holder sends after its last slot of a pool. */
export const EMPTY_REPORT_COUNT = 3;

/**
 * A slot that was granted at least this long before a report that lacks it is
 * free: by then the holder had received the grant or had stopped waiting for
 * it.
 */
export const REPORT_GUARD_MS = ACQUIRE_POLL_MS + ACQUIRE_GRACE_MS;

/** Idle time after which a pool is removed. */
export const IDLE_POOL_MS = 60_000;

/** Largest number of pools that one request tries. */
export const MAX_POOLS_TRIED = 2;

/**
 * Largest number of times that one request asks again because of a dispatcher
 * that stops or an endpoint that leaves, though the same one has made it ask
 * before. Without a limit two instances with different views would send it back
 * and forth for ever.
 */
export const MAX_REPEATED_ROUNDS = 6;

/** Delay after which a caller may retry a request that found no endpoint. */
export const NO_ENDPOINT_RETRY_MS = 1000;

/** Interval at which a dispatcher polls the load of its endpoints. */
export const OBSERVE_INTERVAL_MS = 2000;

/**
 * How long a dispatcher that has just taken over waits for the other instances
 * to describe its pool. They respond within 3 ms, and requests wait until then.
 */
export const GATHER_TIMEOUT_MS = 60;
