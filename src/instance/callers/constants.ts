/** Constants of the callers' interface. Times in ms, sizes in bytes. */

/** Carries the verdict on a request that gave no answer. */
export const VERDICT_HEADER = 'x-mulberry-verdict';

/** How long the caller will wait, such as `2s`. */
export const DEADLINE_HEADER = 'x-mulberry-deadline';

/** Names a request; answered in the same header. */
export const REQUEST_ID_HEADER = 'x-request-id';

/** Makes a non-idempotent request safe to send again. */
export const IDEMPOTENCY_HEADER = 'idempotency-key';

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
