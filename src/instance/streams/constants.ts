/** Constants of the origins of streams. Times in ms. */

/** Time for which origins are collected before they are sent to their keeper. */
export const NOTE_INTERVAL_MS = 10;

/** Time within which a note that was sent before a lookup has arrived. */
export const NOTE_TRANSIT_MS = 40;

/** Time for which a keeper collects origins before it writes them. */
export const WRITE_INTERVAL_MS = 100;

/** Largest number of origins that an instance remembers. */
export const MAX_ORIGINS = 10_000;

/** Largest number of origins in one message or row, which bounds its size. */
export const MAX_ORIGINS_PER_BATCH = 500;

/** Largest number of origins that wait to be written. */
export const MAX_PENDING_ORIGINS = 2000;

/** How long written origins are kept, beyond what most callers wait in all. */
export const ROW_RETENTION_MS = 15_000;

/** Largest number of rows removed in one transaction. */
export const MAX_ROWS_PER_REMOVAL = 50;

/** Largest number of such transactions in one cleanup of a pool. */
export const MAX_REMOVALS_PER_CLEANUP = 4;

/** Interval at which a keeper removes the rows that it need not keep. */
export const CLEANUP_INTERVAL_MS = 5000;

/** Least time between two reads of the same pool's rows. */
export const READ_INTERVAL_MS = 100;

/**
 * Time without the rows after which a keeper answers that it cannot read them. It is less
 * than KEEPER_TIMEOUT_MS by the time of the call.
 */
export const READ_TIMEOUT_MS = 300;

/**
 * Time by which a row may appear later than its key says: a write may take effect
 * after its response was lost.
 */
export const LATE_ROW_MS = 2000;

/** Time after which a keeper that does not respond is passed over. */
export const KEEPER_TIMEOUT_MS = 400;

/** Number of keepers that are asked in turn. */
export const MAX_KEEPERS_ASKED = 2;

/** Retry-After of a stream whose keeper cannot be reached. */
export const UNREACHABLE_RETRY_AFTER_MS = 500;
