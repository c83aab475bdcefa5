/** Constants of fleet-wide rate limits. Times are in ms. */

/**
 * Time after the request for a token in which it must be spent. It covers a
 * delayed token and a slow response. It is short because a token counts against
 * the burst for as long as it is unknown whether it was spent.
 */
export const GRANT_LIFETIME_MS = 600;

/**
 * Extra time for which the holder counts a grant as unspent after its instance
 * may no longer spend it. It tolerates clocks that run at different speeds.
 */
export const CLOCK_MARGIN_MS = 50;

/** Longest wait for a token that is not earned yet. */
export const MAX_TOKEN_DELAY_MS = 300;

/**
 * Duration of a standby's promise not to take over. After the loss of a holder,
 * callers wait at most half of it on average.
 */
export const PROMISE_MS = 1600;

/** Interval of promise renewals; two consecutive ones may be lost. */
export const PROMISE_RENEWAL_MS = 400;

/** Longest wait of a caller while its bucket moves to another holder. */
export const MAX_TAKEOVER_WAIT_MS = 3000;

/** Maximum number of callers of one bucket that wait on one instance. */
export const MAX_WAITING = 512;

/**
 * Longest time for which an instance remembers a refusal before asking again.
 */
export const MAX_REFUSAL_CACHE_MS = 100;

/**
 * Time after a takeover in which callers wait longer, as the bucket starts
 * empty.
 */
export const RECOVERY_MS = 10_000;

/** Maximum number of tokens requested in one message. */
export const MAX_DRAW = 512;
