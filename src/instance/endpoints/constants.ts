/**
 * Constants of the endpoints' protocols, which are the ones that the engine
 * and service stand-ins speak. Times in ms, sizes in bytes.
 */

/** Names a request; always our own id. A model engine's head repeats it. */
export const REQUEST_ID_HEADER = 'x-request-id';

/**
 * Asks for a stream from this offset on. The head repeats it when the engine
 * still has the stream; without it, the answer begins anew at 0.
 */
export const RESUME_OFFSET_HEADER = 'x-resume-offset';

/** `true` on a 503: the endpoint refused before admission. */
export const NOT_ADMITTED_HEADER = 'x-not-admitted';

/** The event that says the answer is whole. */
export const END_MARK = '[DONE]';

/** One event larger than this is not a token: the stream is given up. */
export const MAX_EVENT_BYTES = 1024 ** 2;

/** Error answers longer than this are cut: nobody reads more. */
export const MAX_ERROR_BODY_BYTES = 64 * 1024;

/** An endpoint has this long to close an answer after its end mark. */
export const END_OF_BODY_TIMEOUT_MS = 1000;

/** Longest wait for an answer to a load, cache or order call. */
export const CONTROL_TIMEOUT_MS = 5000;

/** Answers to control calls are lists of a few hundred entries. */
export const MAX_CONTROL_BODY_BYTES = 1024 ** 2;

/** KV cache entries larger than this cost more to move than to compute. */
export const MAX_KV_ENTRY_BYTES = 64 * 1024 ** 2;

/** When an overloaded endpoint does not say, come back after this. */
export const DEFAULT_RETRY_AFTER_MS = 1000;

/** Headers of a plain service's answer that the caller gets. */
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
