/** Constants of the platform adapters. Times are in ms, sizes in bytes. */

/**
 * Timeout of one attempt at the table service or the instance list. They
 * respond within tens of ms, so one second is far beyond their tail latency,
 * and 3 attempts still end before the third poll from then.
 */
export const TABLE_ATTEMPT_TIMEOUT_MS = 1000;

/**
 * Timeout of one attempt at the object store, which transfers up to one part.
 */
export const OBJECT_ATTEMPT_TIMEOUT_MS = 20_000;

/** Timeout for connecting; short because the platform is in the same region. */
export const CONNECT_TIMEOUT_MS = 500;

/** Attempts of one call, including the first. */
export const MAX_ATTEMPTS = 3;

/**
 * Base and maximum of the exponential backoff: retry n waits
 * RETRY_BASE_MS * 2^n, with jitter over half of that.
 */
export const RETRY_BASE_MS = 50;
export const RETRY_MAX_MS = 1000;

/**
 * Maximum retry budget of an instance, and what each successful call adds to
 * it. With 0.1 per success, retries add at most a tenth to the calls of a slow
 * hour.
 */
export const RETRY_BUDGET_MAX = 10;
export const RETRY_BUDGET_PER_SUCCESS = 0.1;

/**
 * Consecutive failed attempts after which the service counts as unavailable.
 */
export const OUTAGE_AFTER_FAILURES = 5;

/**
 * Upper bound of the wait before the next probe of an unavailable service. The
 * wait is drawn between 0 and the bound, which doubles from the base to the
 * maximum. Callers poll once a second, so with a narrower range the fleet would
 * probe in step: with waits of 1 to 2 s, every other second carried all probes.
 * A recovery is noticed within 2 s.
 */
export const PROBE_BASE_MS = 250;
export const PROBE_MAX_MS = 2000;

/**
 * Connections to each service. More would only queue requests in the service.
 */
export const CONNECTIONS = 32;

/** Size of a part of an upload; the object store requires at least 5 MiB. */
export const UPLOAD_PART_BYTES = 8 * 1024 * 1024;

/** Size of a piece of a streamed object. */
export const STREAM_PIECE_BYTES = 4 * 1024 * 1024;

/** Maximum number of names in one list response of the object store. */
export const LIST_LIMIT = 1000;
