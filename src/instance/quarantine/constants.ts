/** Constants of the quarantine. Times in ms. */

/** Shards that crash records are spread over: many endpoints may end at once. */
export const CRASH_SHARDS = 8;

/** Writing what the store did not take, and dropping what is too old. */
export const QUARANTINE_UPKEEP_MS = 1000;

/** Rows changed in one transaction, at the most. */
export const MAX_ROWS_PER_WRITE = 50;

/** Records of this instance that wait for the store, at the most. */
export const MAX_PENDING_RECORDS = 1000;

/** Records known of the fleet, at the most. */
export const MAX_RECORDS = 20_000;

/** Contents remembered for having been answered. */
export const REMEMBERED_ANSWERS = 1000;

/** A held item looks this often whether it may run. */
export const HELD_ITEM_RETRY_MS = 5000;
