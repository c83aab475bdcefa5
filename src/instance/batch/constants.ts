/** Constants of batch bundles. Times are in ms, sizes in bytes. */

/**
 * Maximum number of items in one segment. With this size, 420 million items per
 * day cost 10 claims and 10 commits per second. Segments 10 times smaller would
 * use the whole capacity of the table service.
 */
export const MAX_SEGMENT_ITEMS = 512;

/**
 * A segment ends when it reaches this size, also before MAX_SEGMENT_ITEMS items,
 * so that the active segments fit into an instance's memory. The last line may
 * exceed it.
 */
export const MAX_SEGMENT_BYTES = 2 * 1024 ** 2;

/** Maximum length of a line of a bundle. */
export const MAX_LINE_BYTES = 1024 ** 2;

/** Maximum size of a bundle. */
export const MAX_BUNDLE_BYTES = 2 * 1024 ** 3;

/** Maximum size of the body of a request that creates a job. */
export const MAX_REQUEST_BYTES = 64 * 1024;

/** Maximum number of invalid lines that are reported; reading stops there. */
export const MAX_REPORTED_FAULTS = 20;

/** Completion window of a job that does not specify one. */
export const DEFAULT_COMPLETION_WINDOW = '24h';

/** Maximum attempts of a transaction that conflicts with concurrent changes. */
export const MAX_TRANSACTION_ATTEMPTS = 8;

/**
 * Interval of reading a service's open jobs, which also detects cancelled jobs.
 */
export const WORK_POLL_INTERVAL_MS = 1000;

/**
 * Interval of reading a job's segments while other instances run some of them.
 */
export const SEGMENTS_REFRESH_INTERVAL_MS = 10_000;

/**
 * Maximum number of items for which no endpoint has started a response. They
 * fill slots as these become free. More items would only wait in the
 * dispatcher's queue.
 */
export const MAX_WAITING_ITEMS = 64;

/** Maximum number of items in progress on one instance for one service. */
export const MAX_ACTIVE_ITEMS = 2048;

/**
 * Another segment is claimed when fewer items than this have not been started.
 */
export const CLAIM_AHEAD_ITEMS = 256;

/** Maximum number of segments in progress on one instance for one service. */
export const MAX_ACTIVE_SEGMENTS = 12;

/** Maximum number of items covered by one intent if items may not run twice. */
export const MAX_INTENT_GROUP_ITEMS = 64;

/**
 * Maximum number of items covered by one intent, by the number of owners lost
 * since the segment last made progress. An item that crashes its owner is
 * therefore alone in its group after 3 losses, and ends as an error line.
 */
export const GROUP_ITEMS_BY_LOSSES = [MAX_SEGMENT_ITEMS, 64, 8, 1] as const;

/**
 * Initial and maximum delay before an item is retried, with exponential
 * backoff.
 */
export const INITIAL_RETRY_DELAY_MS = 100;
export const MAX_RETRY_DELAY_MS = 2000;

/** Delay before a store call is retried while the store does not respond. */
export const STORE_RETRY_DELAY_MS = 1000;

/**
 * Number of items that an account's urgent jobs may run beyond its fair share.
 */
export const URGENT_CREDIT_ITEMS = 16 * MAX_SEGMENT_ITEMS;

/** Interval of reading the lease of another owner. */
export const OWNER_CHECK_INTERVAL_MS = 2000;

/** Maximum number of other owners whose state is cached. */
export const MAX_CACHED_OWNERS = 1000;

/** Interval at which the workers look for work. */
export const BATCH_POLL_INTERVAL_MS = 200;
