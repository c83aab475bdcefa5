/** Constants of the gateway. Times in ms. */

/**
 * Longest wait for a connection to an endpoint. One way takes 0.5 ms; a lost
 * opening packet is sent again after a second, which is later than the first
 * event should be.
 */
export const CONNECT_TIMEOUT_MS = 400;

/** Oldest a kept connection may be: bounds how long a dead one can wait. */
export const MAX_CONNECTION_AGE_MS = 60_000;

/**
 * A stream that may be taken up elsewhere is taken up after this much silence.
 * Endpoints make an event every 30 to 60 ms, callers give a stream up after
 * 2,400 ms without one; this leaves time for another start.
 */
export const STREAM_SILENCE_MS = 1000;

/** Sends that certainly did not run which one request may use up. */
export const MAX_UNRUN_SENDS = 4;

/** Share of a caller's patience for the first event that may pass unserved. */
export const START_SHARE = 0.5;

/** What a request that names no patience is given, in ms. */
export const DEFAULT_PATIENCE_MS = 30_000;

/** A request with less time left than this is not sent any more. */
export const MIN_REMAINING_MS = 10;

/** When a caller may come back to an instance that cannot serve it yet. */
export const UNREADY_RETRY_MS = 500;

/** When a caller may come back after every try met an endpoint that refused. */
export const REFUSED_RETRY_MS = 200;

/** Longest time in which a request must have been received whole. */
export const RECEIVE_TIMEOUT_MS = 30_000;

/** Buckets of the histogram of requests' durations, in ms. */
export const REQUEST_BUCKETS_MS = [
  25, 50, 75, 100, 150, 200, 300, 400, 600, 1000, 2000, 5000,
];
