/** Constants of the callers' interface. Times in ms, sizes in bytes. */

/** Carries the verdict on a request that gave no answer. */
export const VERDICT_HEADER = 'x-mulberry-verdict';

/** How long the caller will wait, such as `2s`. */
export const DEADLINE_HEADER = 'x-mulberry-deadline';

/** Names a request; answered in the same header. */
export const REQUEST_ID_HEADER = 'x-request-id';

/** Makes a non-idempotent request safe to send again. */
export const IDEMPOTENCY_HEADER = 'idempotency-key';

/** `true` on an answer that was recorded when the call ran earlier. */
export const REPLAYED_HEADER = 'idempotent-replayed';

/** Headers of a caller that an endpoint may see. All others are dropped. */
export const FORWARDED_HEADERS = [
  'accept',
  'accept-language',
  'content-type',
] as const;

/** Headers larger than this are refused. */
export const MAX_HEADER_BYTES = 16 * 1024;

/** A caller that takes longer to send its headers is cut off. */
export const HEADERS_TIMEOUT_MS = 10_000;

/** A caller that takes longer to send its whole request is cut off. */
export const REQUEST_TIMEOUT_MS = 60_000;

/** How often the two timeouts above are checked. */
export const TIMEOUT_CHECK_INTERVAL_MS = 1000;

/** A caller that takes nothing of its answer for this long is cut off. */
export const SLOW_READ_TIMEOUT_MS = 10_000;

/** How often unread answers are looked at. */
export const SLOW_READ_CHECK_MS = 2000;

/**
 * After a refusal, the rest of a body is read this long, so that the caller
 * reads the refusal and not a reset connection.
 */
export const LINGER_MS = 500;

/** Idle connections are kept this long between requests. */
export const KEEP_ALIVE_TIMEOUT_MS = 65_000;

/** Refusals that name no other time to come back name this one. */
export const DEFAULT_RETRY_AFTER_MS = 1000;

/** Large answers are handed to the connection in pieces of this size. */
export const ANSWER_PIECE_BYTES = 64 * 1024;

/** Characters of a prompt to a token, roughly, for estimates. */
export const CHARACTERS_PER_TOKEN = 4;

/** Upper bounds of the first-byte histogram. */
export const FIRST_BYTE_BUCKETS_MS = [
  5, 10, 25, 50, 100, 200, 370, 500, 1000, 2000, 5000, 10_000,
] as const;
