/** Constants of the connections between instances. Times in ms. */

/**
 * TLS 1.2 with an ephemeral key exchange, authenticated by the shared key: a
 * recorded connection stays unreadable even if the key leaks later.
 */
export const PEER_CIPHERS = 'ECDHE-PSK-CHACHA20-POLY1305';

/** A client that has not authenticated after this time is disconnected. */
export const HANDSHAKE_TIMEOUT_MS = 2000;

/** Maximum size of a message. The largest real ones have a few tens of KB. */
export const MAX_FRAME_BYTES = 256 * 1024;

/**
 * Maximum number of open connections, including those still in the handshake.
 */
export const MAX_CONNECTIONS = 2048;

/** Default timeout of a call. A caller may set another one. */
export const CALL_TIMEOUT_MS = 700;

/**
 * Maximum number of calls in flight to one peer. Further calls are refused
 * without being sent.
 */
export const MAX_CALLS_IN_FLIGHT = 512;

/** A connection is closed after this long without a call. */
export const IDLE_CLOSE_MS = 60_000;

/** Interval between pings on a connection that receives nothing. */
export const PING_INTERVAL_MS = 5000;

/** If a ping is not answered for this long, the connection counts as dead. */
export const PONG_TIMEOUT_MS = 1000;

/** Delay before the second reconnect attempt; doubled after each failed one. */
export const MIN_RECONNECT_DELAY_MS = 20;

/** Maximum delay before a reconnect attempt. */
export const MAX_RECONNECT_DELAY_MS = 1000;
