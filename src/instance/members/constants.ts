/** Constants of membership. Times in ms. */

/** Time between two heartbeats to the same ring neighbour. */
export const HEARTBEAT_INTERVAL_MS = 1000;

/** A heartbeat without an answer for this long has failed. */
export const HEARTBEAT_TIMEOUT_MS = 700;

/**
 * Neighbours on the ring that each instance watches. With three, an instance
 * goes unwatched only if its three predecessors die within two seconds.
 */
export const RING_NEIGHBOURS = 3;

/** Most ring neighbours probed, suspected ones included. */
export const MAX_RING_PROBES = 6;

/** One witness in each other failure domain is asked every so many beats. */
export const WITNESS_EVERY_BEATS = 5;

/** The same while this instance cannot reach the store: doubt is urgent. */
export const WITNESS_EVERY_BEATS_IN_DOUBT = 2;

/** Heartbeats in a row that must fail before an instance is suspected. */
export const FAILURES_TO_SUSPECT = 2;

/** The same when most targets fail: then it is more likely this instance. */
export const FAILURES_TO_SUSPECT_IN_DOUBT = 6;

/** Pieces of news in one message, newest first: about 1 KB. */
export const MAX_NEWS_PER_HEARTBEAT = 12;

/** News is passed on for this long; views converge in a few beats. */
export const NEWS_LIFETIME_MS = 20_000;

/** Records of instances that are no longer listed are kept for this long. */
export const RECORD_LIFETIME_MS = 120_000;

/** News younger than this goes to the witnesses with every beat. */
export const FRESH_NEWS_MS = 3000;

/**
 * The row of an instance that was silent for this long is deleted. Until then
 * it counts as one that may hold its share of rates; one that was only cut off
 * enters itself again when it returns.
 */
export const SILENT_ENTRY_MS = 6000;

/**
 * The same for an instance that sees half of the fleet or less: more likely it
 * is cut off itself, and cuts seldom last so long.
 */
export const SILENT_ENTRY_ALONE_MS = 15_000;

/**
 * Intervals between renewals that the store must be silent before a registration
 * can lapse: it does after three without one, and the first may have been nearly
 * over when the silence began.
 */
export const INTERVALS_TO_LAPSE = 2;

/** Each instance looks this often after its own row and those of the dead. */
export const ENTRY_UPKEEP_MS = 1000;
