/**
 * Constants of the endpoints' protocols, which the engine and service stand-ins
 * use as well. Times in ms, sizes in bytes.
 */

/** Request id, always the product's own. A model engine's head repeats it. */
export const REQUEST_ID_HEADER = 'x-request-id';

/**
 * Asks to resume a stream at this offset. The head repeats the header when the
 * engine still has the stream; otherwise the response restarts at 0.
 */
export const RESUME_OFFSET_HEADER = 'x-resume-offset';

/** `true` on a 503 means that the endpoint refused before admission. */
export const NOT_ADMITTED_HEADER = 'x-not-admitted';

/** The event that marks a response as complete. */
export const END_MARK = '[DONE]';

/**
 * Largest size of an event; a larger one is not a token, and the stream fails.
 */
export const MAX_EVENT_BYTES = 1024 ** 2;

/** Size to which error responses are truncated, because nobody reads more. */
export const MAX_ERROR_BODY_BYTES = 64 * 1024;

/** Time that an endpoint has to end a response after its end mark. */
export const END_OF_BODY_TIMEOUT_MS = 1000;

/** Timeout of load, cache and order calls. */
export const CONTROL_TIMEOUT_MS = 5000;

/** Largest response to a control call: a list of a few hundred entries. */
export const MAX_CONTROL_BODY_BYTES = 1024 ** 2;

/** Size above which a KV cache entry costs more to move than to compute. */
export const MAX_KV_ENTRY_BYTES = 64 * 1024 ** 2;

/** Retry delay when an overloaded endpoint gives none. */
export const DEFAULT_RETRY_AFTER_MS = 1000;

/** Headers of a plain service's response that are forwarded to the caller. */
export const ANSWER_HEADERS = [
  'cache-control',
  'content-disposition',
  'content-encoding',
  'content-language',
  'content-type',
  'etag',
  'last-modified',
  'location',
] as const;
