/** Constants of the callers' interface. Times are in ms, sizes in bytes. */

/** Response header with the verdict on a failed request. */
export const VERDICT_HEADER = 'x-mulberry-verdict';

/** Request header with the time the caller waits, such as `2s`. */
export const DEADLINE_HEADER = 'x-mulberry-deadline';

/** Response header with the request's id. */
export const REQUEST_ID_HEADER = 'x-request-id';

/** Request header that makes a non-idempotent request safe to resend. */
export const IDEMPOTENCY_HEADER = 'idempotency-key';

/**
 * Response header: `true` if the response was recorded when the call ran
 * earlier.
 */
export const REPLAYED_HEADER = 'idempotent-replayed';

/** Request headers that are forwarded to endpoints. All others are dropped. */
export const FORWARDED_HEADERS = [
  'accept',
  'accept-language',
  'content-type',
] as const;

/** Requests with larger headers are refused. */
export const MAX_HEADER_BYTES = 16 * 1024;

/** A caller that takes longer to send its headers is disconnected. */
export const HEADERS_TIMEOUT_MS = 10_000;

/** A caller that takes longer to send its complete request is disconnected. */
export const REQUEST_TIMEOUT_MS = 60_000;

/** How often the two timeouts above are checked. */
export const TIMEOUT_CHECK_INTERVAL_MS = 1000;

/**
 * A caller that reads nothing of its response for this long is disconnected.
 */
export const SLOW_READ_TIMEOUT_MS = 10_000;

/** How often slow callers are checked for. */
export const SLOW_READ_CHECK_MS = 2000;

/**
 * After a refusal, the rest of the request body is read for this long, so that
 * the caller reads the refusal instead of seeing a connection reset.
 */
export const LINGER_MS = 500;

/** Connections that wait to be accepted when an instance stops are, within this time. */
export const ACCEPT_TIMEOUT_MS = 500;

/** Refusals of requests that the drain timeout ended are sent within this time. */
export const ABORTED_RESPONSES_MS = 400;

/** Idle connections are kept open for this long between requests. */
export const KEEP_ALIVE_TIMEOUT_MS = 65_000;

/** Retry-After of refusals that set none. */
export const DEFAULT_RETRY_AFTER_MS = 1000;

/** Large responses are written in pieces of this size. */
export const ANSWER_PIECE_BYTES = 64 * 1024;

/** Approximate characters per token of a prompt, for estimates. */
export const CHARACTERS_PER_TOKEN = 4;

/** Upper bounds of the time-to-first-byte histogram. */
export const FIRST_BYTE_BUCKETS_MS = [
  5, 10, 25, 50, 100, 200, 370, 500, 1000, 2000, 5000, 10_000,
] as const;
