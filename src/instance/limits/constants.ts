/** Constants of the limits' messages and table work. Times in ms. */

/** A draw without an answer for this long goes to the next address. */
export const DRAW_TIMEOUT_MS = 250;

/** Other calls about rates. */
export const CONTROL_TIMEOUT_MS = 300;

/** Addresses tried for one draw before its callers wait. */
export const MAX_HOPS = 5;

/** Finished grants are told together after this long. */
export const SETTLE_DELAY_MS = 20;

/** When to try again while a holder changes. */
export const RETRY_MS = 100;

/** When to try again while only the store could help. */
export const STORE_RETRY_MS = 500;

/** A standby that is silent for this long is replaced by a new view. */
export const STANDBY_SILENCE_MS = 3000;

/** Buckets moved to the current view in one round, to spare the store. */
export const MOVES_PER_ROUND = 10;

/** Share of a full bucket that is set aside for the successor. */
export const RESERVE_SHARE = 0.5;

/** Where a bucket is held is asked again after this long. */
export const REDIRECT_LIFETIME_MS = 1000;

/** Declared buckets looked after in one round, to spare the store. */
export const CLAIMS_PER_ROUND = 2;

/** A declared bucket is looked after again after this long. */
export const CLAIM_LIFETIME_MS = 600_000;

/** Time between two rankings of all declared buckets (20 ms at 8,280 of them). */
export const CLAIM_SCAN_INTERVAL_MS = 10_000;

/**
 * An account's owner that gives no answer for this long is decided without: it
 * answers within 2 ms, and a request has some 250 ms to its first event.
 */
export const OWNER_TIMEOUT_MS = 100;

/** An owner that gave no answer is not asked again for this long. */
export const OWNER_COOLDOWN_MS = 500;
