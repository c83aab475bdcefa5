/**
 * What marks the end of the body of an HTTP response (RFC 9112, section 6.3).
 *
 * Failure: a response with neither a length nor chunks ends with its connection. If the
 * connection is reset, for example because the sender died, what was received until
 * then looks like a complete response.
 */
import type {IncomingMessage} from 'node:http';

export type Framing =
  /** The response has no body. */
  | 'empty'
  /** The body has a stated length. */
  | 'length'
  /** The body ends with its last chunk. */
  | 'chunked'
  /** The body ends with the connection. */
  | 'connection';

/** Statuses whose responses have no body. */
const STATUSES_WITHOUT_BODY = new Set([204, 304]);

const CHUNKED_LAST = /(^|[\s,])chunked\s*$/i;

/** `method` is that of the request. */
export function findFraming(
  {statusCode, headers}: Pick<IncomingMessage, 'statusCode' | 'headers'>,
  method: string,
): Framing {
  if (method === 'HEAD' || STATUSES_WITHOUT_BODY.has(statusCode!))
    return 'empty';
  const coding = headers['transfer-encoding'];
  if (coding !== undefined)
    return CHUNKED_LAST.test(coding) ? 'chunked' : 'connection';
  return headers['content-length'] === undefined ? 'connection' : 'length';
}
