/** Constants of fleet-wide rates. Times in ms. */

/**
 * A token must be spent this long after its instance asked for it. Long enough
 * for a delayed token and a slow answer; short, as a token whose fate is
 * unknown counts against the burst for as long.
 */
export const GRANT_LIFETIME_MS = 600;

/**
 * The holder counts a grant as possibly unspent for this much longer than its
 * instance may spend it, so that clocks of different speed do no harm.
 */
export const CLOCK_MARGIN_MS = 50;

/** Longest wait for a token that is not yet earned. */
export const MAX_TOKEN_DELAY_MS = 300;

/**
 * A standby promises for this long not to take over. Half of it is the longest
 * that a holder's loss keeps callers waiting on average.
 */
export const PROMISE_MS = 1600;

/** Renewed this often: two renewals may be lost without any harm. */
export const PROMISE_RENEWAL_MS = 400;

/** Longest wait of a caller while its bucket changes hands. */
export const MAX_TAKEOVER_WAIT_MS = 3000;

/** Callers of one bucket waiting on one instance, at the most. */
export const MAX_WAITING = 512;

/** An instance that was refused asks again after this long at the latest. */
export const MAX_REFUSAL_MEMORY_MS = 100;

/** After a takeover callers wait longer, as the new holder starts empty. */
export const RECOVERY_MS = 10_000;

/** Most tokens asked for in one message. */
export const MAX_DRAW = 512;
