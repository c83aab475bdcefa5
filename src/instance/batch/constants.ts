/** Constants of batch bundles. Times in ms, sizes in bytes. */

/**
 * Items of one segment: 420 million items a day then cost 10 claims and 10
 * commits a second; ten times smaller ones would take the whole table service.
 */
export const SEGMENT_ITEMS = 512;

/** A segment is cut earlier at this size, so that few fit into an instance. */
export const SEGMENT_BYTES = 2 * 1024 ** 2;

/** Longest line of a bundle. */
export const MAX_LINE_BYTES = 1024 ** 2;

/** Largest bundle. */
export const MAX_BUNDLE_BYTES = 2 * 1024 ** 3;

/** Largest body of a request that creates a job. */
export const MAX_REQUEST_BYTES = 64 * 1024;

/** Bad lines reported at once; reading stops there. */
export const MAX_REPORTED_FAULTS = 20;

/** Due time of a job that names none. */
export const DEFAULT_COMPLETION_WINDOW = '24h';

/** Tries of a transaction that lost a race before the caller is told. */
export const MAX_RACES = 8;

/** Time between two reads of a service's open jobs: a cancel is seen by then. */
export const WORK_POLL_MS = 1000;

/** Time between two reads of a job's segments while others work on it. */
export const SEGMENTS_REFRESH_MS = 10_000;

/**
 * Items sent towards endpoints that have not begun to answer. They fill slots
 * as they fall free; more would only wait in the dispatcher's queue.
 */
export const MAX_WAITING_ITEMS = 64;

/** Items at once on one instance for one service. */
export const MAX_ACTIVE_ITEMS = 2048;

/** Another segment is claimed when fewer items than this are left to begin. */
export const CLAIM_AHEAD_ITEMS = 256;

/** Segments that one instance works on at once for one service. */
export const MAX_ACTIVE_SEGMENTS = 12;

/** Items for which intent is recorded at a time where none may run twice. */
export const INTENT_GROUP_ITEMS = 64;

/**
 * Sizes of the groups that intent is recorded for, by how often owners of the
 * segment were lost since it last made progress. An item that kills its owner
 * is thereby alone in a group after three losses, and ends as an error line.
 */
export const CAREFUL_GROUP_ITEMS = [SEGMENT_ITEMS, 64, 8, 1] as const;

/** Wait before an item that found no slot asks again; doubled up to the most. */
export const RETRY_WAIT_MS = 100;
export const MAX_RETRY_WAIT_MS = 2000;

/** Wait before a commit is tried again while the store gives no answer. */
export const STORE_RETRY_MS = 1000;

/** Items that one account's urgent jobs may run ahead of its fair share. */
export const URGENT_CREDIT_ITEMS = 16 * SEGMENT_ITEMS;

/** Time between two looks at the lease of one other owner. */
export const OWNER_CHECK_MS = 2000;

/** Other owners remembered at once. */
export const MAX_KNOWN_OWNERS = 1000;

/** How often the workers look whether there is something to do. */
export const BATCH_POLL_MS = 200;
