/** Constants of execution. Times in ms, sizes in bytes. */

/** Slots one request may be tried on; yielding to online work counts none. */
export const MAX_TRIES = 3;

/** Tries on one slot: the first and one resumption on a new connection. */
export const MAX_TRIES_ON_SLOT = 2;

/** Open requests' keys are looked at this often: withdrawn ones end at once. */
export const AUTHORIZE_INTERVAL_MS = 500;

/**
 * What was sent of an answer is kept up to this size to compare a second run
 * with it; a longer answer that breaks off and cannot resume ends in an error.
 */
export const MAX_REPLAY_BYTES = 256 * 1024;

/** When the retry budget is spent, come back after this. */
export const BUDGET_RETRY_AFTER_MS = 2000;
