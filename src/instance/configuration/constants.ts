/** Constants of configuration and keys. Times in ms, sizes in bytes. */

/** Partition of the table that holds one row for each service document. */
export const CONFIGURATION_PARTITION = 'configuration';

/** Partition with every version of each document. */
export const HISTORY_PARTITION = 'configuration-history';

/** Partition with one row for each key, under its hash. */
export const KEYS_PARTITION = 'keys';

/** Partition with the last changes, under their generations. */
export const CHANGES_PARTITION = 'changes';

/** The row whose version is the generation of configuration and keys. */
export const HEAD_KEY = {partition: 'head', sort: 'head'};

/**
 * Time between two looks at the table, one read each: 360 reads a second at
 * 360 instances, of about two thousand. A change is in force well within 3 s.
 */
export const POLL_INTERVAL_MS = 1000;

/**
 * Changes kept in the table, about two days of them. An instance that missed
 * more reads everything anew.
 */
export const KEPT_CHANGES = 2000;

/** Changes read in one answer. */
export const CHANGE_PAGE = 100;

/** Changes an instance remembers for its peers; before them all is passed on. */
export const REMEMBERED_CHANGES = 200;

/** Changes passed to a peer in one answer hold about so much text. */
export const UPDATE_PAGE_BYTES = 96 * 1024;

/** Longest document: it must fit one answer to a peer. 360 accounts take 22 KB. */
export const MAX_DOCUMENT_BYTES = 128 * 1024;

/** Times a change is tried again because another one took its generation. */
export const MAX_HEAD_RACES = 20;

/** Times a change is tried again because its answer did not come. */
export const MAX_UNCLEAR_TRIES = 3;

/**
 * The store counts as reachable for so long after it was read: one poll and
 * its answer. What peers are told of it is at most so old.
 */
export const STORE_REACHABLE_MS = 1500;

/**
 * Without a confirmation for this long an instance cannot tell whether a key
 * was withdrawn. It is the time within which a withdrawal is effective.
 */
export const CONFIRMATION_LIMIT_MS = 3000;
