/** Constants of the connections between instances. Times in ms. */

/**
 * TLS 1.2 with an ephemeral key exchange proved by the shared key: a recorded
 * connection stays unreadable even if the key leaks later.
 */
export const PEER_CIPHERS = 'ECDHE-PSK-CHACHA20-POLY1305';

/** A client that has not proved the key by then is cut off. */
export const HANDSHAKE_TIMEOUT_MS = 2000;

/** Largest message; the largest real one is a few tens of KB. */
export const MAX_FRAME_BYTES = 256 * 1024;

/** Connections at once, those still proving the key included. */
export const MAX_CONNECTIONS = 2048;

/** A call without an answer for this long has failed, unless it says else. */
export const CALL_TIMEOUT_MS = 700;

/** Calls to one peer at once; more are refused without being sent. */
export const MAX_CALLS_IN_FLIGHT = 512;

/** A connection is closed after this long without a call. */
export const IDLE_CLOSE_MS = 60_000;

/** Time between pings on a connection that receives nothing. */
export const PING_INTERVAL_MS = 5000;

/** A ping without an answer for this long shows the connection dead. */
export const PONG_TIMEOUT_MS = 1000;

/** Longest pause before connecting again. */
export const MAX_RECONNECT_DELAY_MS = 1000;
