/** Constants of configuration and keys. Times in ms, sizes in bytes. */

/** Partition of the table with one row per service document. */
export const CONFIGURATION_PARTITION = 'configuration';

/** Partition with all versions of the documents. */
export const HISTORY_PARTITION = 'configuration-history';

/** Partition with one row per key, under the key's hash. */
export const KEYS_PARTITION = 'keys';

/** Partition with the latest changes, under their generations. */
export const CHANGES_PARTITION = 'changes';

/** Row whose version is the generation of configuration and keys. */
export const HEAD_KEY = {partition: 'head', sort: 'head'};

/**
 * Interval at which an instance reads the table, with one read each: 360 reads
 * per second at 360 instances, of about 2000 that the table serves. A change is
 * active on all instances well within 3 s.
 */
export const POLL_INTERVAL_MS = 1000;

/**
 * Number of changes retained in the table, about two days of them. An instance
 * that missed more reads everything again.
 */
export const RETAINED_CHANGES = 2000;

/** Maximum number of changes in one response of the table. */
export const CHANGES_PER_PAGE = 100;

/**
 * Number of changes that an instance remembers for its peers. A peer that is
 * further behind gets the complete state.
 */
export const MAX_RECENT_CHANGES = 200;

/** Approximate size of the changes in one response to a peer. */
export const UPDATE_PAGE_BYTES = 96 * 1024;

/**
 * Maximum size of a document: it has to fit into one response to a peer. 360
 * accounts take 22 KB.
 */
export const MAX_DOCUMENT_BYTES = 128 * 1024;

/**
 * Maximum number of times a change is retried because another change took its
 * generation.
 */
export const MAX_GENERATION_CONFLICTS = 20;

/** Maximum number of attempts at a change whose response was lost. */
export const MAX_UNCLEAR_ATTEMPTS = 3;

/**
 * The store counts as reachable for this long after it was read: one poll
 * interval and the time of a response. The content relayed to peers is at most
 * this old.
 */
export const STORE_REACHABLE_MS = 1500;

/**
 * Without a confirmation for this long an instance cannot tell whether a key
 * was withdrawn. This is the guaranteed time until a withdrawal takes effect.
 */
export const CONFIRMATION_LIMIT_MS = 3000;
