/** Headers of the engines' protocol, as the stand-in speaks it. */

/** Names a request; the answer's head repeats it. */
export const ENGINE_REQUEST_ID = 'x-request-id';

/**
 * Asks for a stream from this offset on. The head repeats it when the engine
 * still has the stream; without it, the answer begins anew at 0.
 */
export const ENGINE_RESUME_OFFSET = 'x-resume-offset';

/** On a 503: the request was not admitted and has not run. */
export const ENGINE_NOT_ADMITTED = 'x-not-admitted';
