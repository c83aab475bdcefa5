/** Constants of the adapters to the platform. Times in ms, sizes in bytes. */

/**
 * Longest wait for one answer of the table service or the instance list. They
 * answer within tens of ms; a second is far out of their tail, and three tries
 * still end before a poll's next-but-two turn.
 */
export const TABLE_ATTEMPT_TIMEOUT_MS = 1000;

/** Longest wait for one answer of the object store, for up to one part. */
export const OBJECT_ATTEMPT_TIMEOUT_MS = 20_000;

/** Longest wait for a connection: the platform is in the same region. */
export const CONNECT_TIMEOUT_MS = 500;

/** Tries of one call, the first included. */
export const MAX_ATTEMPTS = 3;

/** First wait between tries; it doubles each time, and half of it is drawn. */
export const RETRY_BASE_MS = 50;
export const RETRY_MAX_MS = 1000;

/**
 * Retries an instance may have saved up, and what each answered call earns.
 * With a tenth, retries add at most a tenth to the calls of a slow hour.
 */
export const RETRY_BUDGET_MAX = 10;
export const RETRY_BUDGET_PER_SUCCESS = 0.1;

/** Failed tries in a row after which the service counts as out. */
export const OUTAGE_AFTER_FAILURES = 5;

/**
 * Longest wait for the next probe of a service that is out; it is drawn from
 * nothing to this, which doubles from the first to the last. Callers poll once
 * a second, so a narrower draw would make the whole fleet probe in step: with
 * 1 to 2 s, every other second carried all probes. A return is seen within 2 s.
 */
export const PROBE_FIRST_MS = 250;
export const PROBE_MAX_MS = 2000;

/** Connections to each service. More would only queue in the service. */
export const CONNECTIONS = 32;

/** Size of a part of an upload; the object store takes no less than 5 MiB. */
export const UPLOAD_PART_BYTES = 8 * 1024 * 1024;

/** Size of a piece of a streamed object. */
export const STREAM_PIECE_BYTES = 4 * 1024 * 1024;

/** Names in one answer of the object store's list. */
export const LIST_LIMIT = 1000;
