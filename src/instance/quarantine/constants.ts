/** Constants of the quarantine. Times in ms. */

/** Number of shards of crash records, as many endpoints may end at once. */
export const CRASH_SHARDS = 8;

/** Interval at which pending records are written and expired ones removed. */
export const QUARANTINE_MAINTENANCE_MS = 1000;

/** Largest number of rows changed in one transaction. */
export const MAX_ROWS_PER_WRITE = 50;

/** Largest number of records of this instance that wait to be written. */
export const MAX_PENDING_RECORDS = 1000;

/** Largest number of records of the fleet that an instance holds. */
export const MAX_RECORDS = 20_000;

/** Largest number of contents remembered because an endpoint answered them. */
export const MAX_ANSWERED_CONTENTS = 1000;

/** Largest number of parts of prompts remembered because they were answered. */
export const MAX_ANSWERED_PARTS = 2000;

/** Largest number of parts of one prompt that are considered, the first ones. */
export const MAX_PARTS = 16;

/**
 * Crashes under a part from which on an answer to it is recorded for all instances.
 */
export const MIN_RECORDED_CRASHES = 2;

/** Delay of a retry while another run holds the trial of the same content. */
export const TRIAL_RETRY_MS = 500;

/**
 * Time without the store's answer after which a request does not wait for its trials any
 * longer, as it holds a slot.
 */
export const TRIAL_TIMEOUT_MS = 1000;

/** Time added to a run's duration until its trial expires. */
export const TRIAL_SLACK_MS = 1000;
