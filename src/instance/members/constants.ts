/** Constants of membership. Times in ms. */
import {MAX_PROPAGATED} from '../../decisions/loss_signs.js';

/** Interval between two heartbeats to the same ring neighbour. */
export const HEARTBEAT_INTERVAL_MS = 1000;

/** A heartbeat fails if its response takes longer than this. */
export const HEARTBEAT_TIMEOUT_MS = 700;

/**
 * Number of neighbours on the ring that each instance watches. With 3, an
 * instance goes unwatched only if its 3 predecessors die within two seconds.
 */
export const RING_NEIGHBOURS = 3;

/** Maximum number of suspected instances that get a heartbeat in one round. */
export const MAX_SUSPECTED_PROBES = 3;

/**
 * Every so many heartbeat rounds, one instance in each other failure domain (a
 * witness) gets a heartbeat too.
 */
export const WITNESS_INTERVAL_ROUNDS = 5;

/**
 * The same while this instance cannot reach the store. It then needs recent
 * reports from the witnesses, which show whether the store answers others.
 */
export const WITNESS_INTERVAL_ROUNDS_WITHOUT_STORE = 2;

/** Consecutive heartbeats that must fail before an instance is suspected. */
export const FAILURES_TO_SUSPECT = 2;

/**
 * The same when most heartbeat targets fail at once: then the fault is more
 * likely at this instance.
 */
export const FAILURES_TO_SUSPECT_WHEN_MOST_FAIL = 6;

/**
 * Maximum number of member updates in one heartbeat, newest first: about 1 KB.
 */
export const MAX_UPDATES_PER_HEARTBEAT = MAX_PROPAGATED;

/**
 * A member update is propagated for this long. Views converge within a few
 * heartbeat rounds.
 */
export const UPDATE_LIFETIME_MS = 20_000;

/**
 * Records of instances that are no longer listed are retained for this long.
 */
export const RECORD_LIFETIME_MS = 120_000;

/**
 * While an update is younger than this, witnesses get a heartbeat in every
 * round.
 */
export const FRESH_UPDATE_MS = 3000;

/**
 * The row of an instance that was silent for this long is deleted. Until then
 * the instance counts as a possible holder of its share of rate limits. One
 * that was only cut off registers again when it returns.
 */
export const SILENT_ENTRY_TIMEOUT_MS = 6000;

/**
 * The same timeout when this instance sees half of the fleet or less and no
 * presence check has found the silent one absent: it is then more likely to be
 * cut off itself, and such cuts seldom last this long.
 */
export const SILENT_ENTRY_MINORITY_TIMEOUT_MS = 15_000;

/**
 * Number of renewal intervals for which the store must be silent before a
 * registration can lapse. A registration lapses after 3 intervals without a
 * renewal, but the first of them may have been nearly over when the silence
 * began.
 */
export const INTERVALS_TO_LAPSE = 2;

/**
 * Interval at which each instance checks its own row and the rows of dead
 * instances.
 */
export const ENTRY_UPKEEP_INTERVAL_MS = 1000;

/**
 * Time for the instances to confirm their presence, counted from when the
 * requester's own confirmation was stored: two pauses of a feed and slow writes.
 */
export const CONFIRMATION_WINDOW_MS = 2000;

/**
 * The window is at least this many times as long as the requester's own
 * confirmation took, so that a slow store makes nobody look absent.
 */
export const CONFIRMATION_WINDOW_FACTOR = 3;

/** Minimum time from the start of one presence check to that of the next. */
export const PRESENCE_CHECK_INTERVAL_MS = 4000;

/**
 * Maximum random delay before a presence check is requested. Many survivors
 * have the same reason at the same time, and one check serves all of them.
 */
export const REQUEST_JITTER_MS = 300;

/** Age at which a presence check and its result are ignored. */
export const PRESENCE_CHECK_LIFETIME_MS = 15_000;

/**
 * Number of shards of the confirmations. A shard of the store takes 200
 * transactions per second, and all instances confirm within half a second.
 */
export const CONFIRMATION_SHARDS = 4;

/**
 * Maximum number of absent instances in the result of one check, whose row may
 * have 64 KB. The next check finds the others.
 */
export const MAX_ABSENT_PER_CHECK = 400;

/** Rows of silent instances that are removed at the same time. */
export const PARALLEL_REMOVALS = 16;
