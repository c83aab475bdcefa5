/** Constants of the messages and table accesses of limits. Times in ms. */

/** Timeout of a draw, after which the next address is tried. */
export const DRAW_TIMEOUT_MS = 250;

/** Timeout of all other calls about rates. */
export const CONTROL_TIMEOUT_MS = 300;

/** Largest number of addresses tried for one draw before its callers wait. */
export const MAX_HOPS = 5;

/** Time for which finished grants are collected before they are sent. */
export const SETTLE_DELAY_MS = 20;

/** Retry delay while the holder of a bucket changes. */
export const RETRY_MS = 100;

/** Retry delay when the store did not answer. */
export const STORE_RETRY_MS = 500;

/** Time without a promise from a standby after which the view is replaced. */
export const STANDBY_SILENCE_MS = 3000;

/** Buckets moved to the current view in one round; bounds the store's load. */
export const MOVES_PER_ROUND = 10;

/** Share of a bucket's tokens that is reserved for the successor. */
export const RESERVE_SHARE = 0.5;

/** Time for which the addresses of a bucket's holder are cached. */
export const REDIRECT_LIFETIME_MS = 1000;

/** Declared buckets checked in one round; bounds the store's load. */
export const CLAIMS_PER_ROUND = 2;

/** Time after which a declared bucket is checked again. */
export const CLAIM_LIFETIME_MS = 600_000;

/** Interval between rankings of all declared buckets (8,280 take 20 ms). */
export const CLAIM_SCAN_INTERVAL_MS = 10_000;

/**
 * Time without a response from an account's owner after which this instance
 * decides from its own share. An owner responds within 2 ms, and a request has
 * about 250 ms until its first event.
 */
export const OWNER_TIMEOUT_MS = 100;

/** Time for which an owner that did not respond is not asked again. */
export const OWNER_COOLDOWN_MS = 500;
