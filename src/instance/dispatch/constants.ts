/** Constants of dispatch. Times in ms. */

/**
 * Endpoints of one pool, at the most. One dispatcher sees every request of its
 * pool, so the size bounds what one instance spends on deciding. With two pools
 * a request waits in one while the other has free slots: a fleet of 42
 * endpoints is better off as one pool, and 1,900 still make 30.
 */
export const MAX_POOL_ENDPOINTS = 64;

/** While anything waits, the scheduler looks again this often. */
export const DECIDE_INTERVAL_MS = 20;

/**
 * A dispatcher answers a waiting request at least this often, if only with
 * `waiting`: its silence is then noticed well before the deadline.
 */
export const ACQUIRE_TURN_MS = 250;

/** Answer to a turn that is later than this by so much counts as silence. */
export const ACQUIRE_GRACE_MS = 150;

/** After a dispatcher fell silent, the next one is asked for this long. */
export const DISPATCHER_COOLDOWN_MS = 1000;

/**
 * A dispatcher that said it stops is passed over for so long; by then news of
 * its leaving has come round. One that only stood down is soon asked again.
 */
export const LEAVING_MEMORY_MS = 3000;

/**
 * Dispatchers that may be silent to one instance at once. With more, the fault
 * is more likely here, and the instance decides alone within its share: as
 * dispatcher of what it can still see, it would grant others' slots.
 */
export const MAX_SILENT_DISPATCHERS = 2;

/** Releases are collected for this long and sent together. */
export const RELEASE_INTERVAL_MS = 10;

/** Each holder tells its dispatchers this often which slots it holds. */
export const REPORT_INTERVAL_MS = 2000;

/**
 * A slot that its holder does not report this long after it was granted was
 * granted in an answer that was lost; it is released. Two reports fit in, so
 * that one lost report frees nothing that runs.
 */
export const UNREPORTED_SLOT_MS = 3 * REPORT_INTERVAL_MS;

/** Reports that say that no slot of a pool is held any more. */
export const EMPTY_REPORTS = 3;

/**
 * A slot granted this long before a report that lacks it is free: the answer
 * that granted it came to its holder before that, or the holder gave it up.
 */
export const REPORT_GUARD_MS = ACQUIRE_TURN_MS + ACQUIRE_GRACE_MS;

/** A pool that nobody used for so long is forgotten. */
export const IDLE_POOL_MS = 60_000;

/** Pools that one request tries, at the most. */
export const MAX_POOLS_TRIED = 2;

/**
 * Times that one request asks, at the most: dispatchers that stop and endpoints
 * that leave send it on, and two views that differ would send it on for ever.
 */
export const MAX_SLOT_ROUNDS = 6;

/** When a request that found no endpoint may come back. */
export const NO_ENDPOINT_RETRY_MS = 1000;

/** A dispatcher asks each endpoint of its pools for load this often. */
export const OBSERVE_INTERVAL_MS = 2000;

/**
 * A dispatcher that has just taken over waits this long for what the others
 * know of its pool; they answer within 3 ms, and requests wait meanwhile.
 */
export const GATHER_TIMEOUT_MS = 60;
