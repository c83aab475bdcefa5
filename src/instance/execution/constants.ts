/** Constants of execution. Times in ms, sizes in bytes. */

/** Slots on which a request is attempted at most, not counting yields. */
export const MAX_ATTEMPTS = 3;

/** Attempts on one slot: the first, and one resumption on a new connection. */
export const MAX_ATTEMPTS_PER_SLOT = 2;

/** Interval at which the keys of open requests are checked for withdrawal. */
export const AUTHORIZE_INTERVAL_MS = 500;

/**
 * Size up to which the sent part of a response is retained, to compare a second
 * run with it. A longer response that breaks off and cannot be resumed ends in
 * an error.
 */
export const MAX_REPLAY_BYTES = 256 * 1024;

/** Maximum size of a response that is collected before it is used. */
export const MAX_COLLECTED_BYTES = 8 * 1024 ** 2;

/** Retry delay for callers when the retry budget is spent. */
export const BUDGET_RETRY_AFTER_MS = 2000;
