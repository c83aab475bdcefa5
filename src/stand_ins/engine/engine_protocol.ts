/** Headers of the engine protocol of the stand-in. */

/** Id of a request; the response repeats it. */
export const ENGINE_REQUEST_ID = 'x-request-id';

/**
 * Requests a stream from this offset on. The response repeats the header if the
 * engine still has the stream; otherwise the answer starts again at 0.
 */
export const ENGINE_RESUME_OFFSET = 'x-resume-offset';

/** On a 503: the request was not admitted and has not run. */
export const ENGINE_NOT_ADMITTED = 'x-not-admitted';
