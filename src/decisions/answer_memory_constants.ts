/** Constants of the memory for slowly reading callers. */

/** Multiple of the free memory that one account may hold: alone, 4/5 of the budget. */
export const ACCOUNT_FACTOR = 4;

/** Multiple of what its account may still hold that one response may hold. */
export const RESPONSE_FACTOR = 4;

/**
 * How long a response may stay paused, in ms. Endpoints cut off responses that stay
 * unread for some seconds.
 */
export const PAUSE_LIMIT_MS = 1500;

/**
 * Part of the budget by which an account may exceed its limit, as it does when other
 * accounts begin to hold memory, or with the first bytes of each response.
 */
export const OVERSHOOT_SHARE = 1 / 8;

/**
 * A resumed response is read by its endpoint's view only after it was read for this
 * time, in ms, or by as many bytes: a sender goes on when a third of a buffer of up to
 * 4 MB is free.
 */
export const CATCH_UP_MS = 500;
export const CATCH_UP_BYTES = 1_500_000;

/** What a resumed response may receive before it can be paused again, in bytes. */
export const READ_BYTES = 64 * 1024;
