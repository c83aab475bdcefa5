/** Constants of the gateway. Times are in ms. */

/**
 * Timeout for connecting to an endpoint. One network hop takes 0.5 ms. TCP
 * resends a lost SYN only after one second, which is later than the first event
 * is due.
 */
export const CONNECT_TIMEOUT_MS = 400;

/**
 * Maximum age of a pooled connection; bounds how long a dead one stays in the
 * pool.
 */
export const MAX_CONNECTION_AGE_MS = 60_000;

/**
 * After this long without data, another endpoint is sought for a resumable stream.
 * Endpoints emit an event every 30 to 60 ms, and callers give up on a stream after
 * 2,400 ms without one, so this leaves time to resume it.
 */
export const STREAM_SILENCE_MS = 1000;

/** Time after which a silent stream for which no endpoint was found is looked at again. */
export const SILENCE_RECHECK_MS = 200;

/**
 * Time that the next endpoint of a silent stream has to accept it before the silent one
 * is given up. Two endpoints must not work on one stream for longer than 400 ms.
 */
export const HANDOVER_OVERLAP_MS = 250;

/** Sends of one request that may end with proof that it did not run. */
export const MAX_NOT_RUN_SENDS = 4;

/**
 * Share of a caller's first-event timeout that may pass before it has a slot.
 */
export const FIRST_SLOT_TIMEOUT_SHARE = 0.5;

/** Timeout of a request that names none. */
export const DEFAULT_REQUEST_TIMEOUT_MS = 30_000;

/** A request with less time than this left is not sent to an endpoint. */
export const MIN_REMAINING_MS = 10;

/** Retry-After for requests to an instance that cannot serve them yet. */
export const UNREADY_RETRY_AFTER_MS = 500;

/** Retry-After for requests that got no slot or were refused by all endpoints. */
export const REFUSED_RETRY_AFTER_MS = 200;

/**
 * Time between the returns of an account's callers whose wait for a slot ended
 * on this instance, in ms. An instance does not know how often the fleet serves
 * the account.
 */
export const RETURN_INTERVAL_MS = 200;

/** A request must be received completely within this time. */
export const RECEIVE_TIMEOUT_MS = 30_000;

/** Upper bounds of the request duration histogram. */
export const REQUEST_BUCKETS_MS = [
  25, 50, 75, 100, 150, 200, 300, 400, 600, 1000, 2000, 5000,
];

/**
 * Largest piece of a buffered response that is written at once, in bytes. Whether
 * the caller reads is seen by whole pieces only.
 */
export const UNREAD_PIECE_BYTES = 16 * 1024;

/** How often paused responses are decided on while anything is buffered. */
export const MEMORY_CHECK_MS = 100;

/** Minimum time between two log lines about memory that is used up. */
export const PRESSURE_LOG_INTERVAL_MS = 1000;

/** Number of accounts, the largest ones, that the state dump lists. */
export const LISTED_ACCOUNTS = 10;

/**
 * Retry-After for bodies for which there is no memory. Responses that keep it from
 * others are ended after 1.5 s.
 */
export const BODY_RETRY_AFTER_MS = 1500;

/** Bytes and time within which the head of an endpoint's response is complete. */
export const MAX_HEAD_BYTES = 64 * 1024;
export const HEAD_TIMEOUT_MS = 1000;

/** Interim responses (1xx) that an endpoint may send before the final one. */
export const MAX_INTERIM_RESPONSES = 4;

/**
 * Time in which an endpoint that goes on sending bytes must send a part of a body or
 * complete an event.
 */
export const NOISE_TIMEOUT_MS = 1000;

/** Bytes and time after which the rest of a body that nobody reads is not awaited. */
export const MAX_DISCARDED_BYTES = 64 * 1024;
export const DISCARD_TIMEOUT_MS = 100;

/** Maximum size of one event of a stream; those of engines have some 100 bytes. */
export const MAX_EVENT_BYTES = 1024 * 1024;

/** Longest name of a field of an event, such as the name of a header. */
export const MAX_FIELD_NAME_BYTES = 64;
