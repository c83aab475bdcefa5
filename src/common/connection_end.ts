/**
 * How the other side ended a connection.
 *
 * Failure: the other side dies, and its reset is received together with bytes. libuv
 * then reports the end of the stream and no error, as after an orderly close, and what
 * ends with the connection looks complete.
 */
import type {Socket} from 'node:net';
import {TLSSocket} from 'node:tls';

export type ConnectionEnd =
  /** The other side closed the connection in order. */
  | 'closed'
  /** The connection was reset or lost. */
  | 'reset'
  /** Only a close alert is an orderly end of TLS, and Node.js does not report it. */
  | 'unproved';

/**
 * Finds how the connection of a socket ended that emits `end`. The address of the peer
 * must not have been read before, because the socket would remember it.
 */
export function findConnectionEnd(socket: Socket): ConnectionEnd {
  // A connection that was reset has no peer any more.
  if (socket.remoteAddress === undefined) return 'reset';
  return socket instanceof TLSSocket ? 'unproved' : 'closed';
}
