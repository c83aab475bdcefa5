/** Reads requests and writes responses on the callers' interface. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setImmediate as waitTurn} from 'node:timers/promises';
import {buildErrorBody, RouterError} from '../../common/errors.js';
import {
  DEFAULT_RETRY_AFTER_MS,
  LINGER_MS,
  REQUEST_ID_HEADER,
  VERDICT_HEADER,
} from './constants.js';

/** One request of a caller and its response. */
export interface HttpExchange {
  request: IncomingMessage;
  response: ServerResponse;
  /** Path without the query. */
  path: string;
  query: URLSearchParams;
  /** The query with its question mark; empty if there is none. */
  search: string;
  requestId: string;
  /** Aborted when the caller disconnects or the drain timeout expires. */
  signal: AbortSignal;
}

/** What is told of the progress of a body that arrives in parts. */
export interface BodyListener {
  /** `bytes` is the total so far; throws RouterError to refuse the request. */
  noteArrived(bytes: number): void;
  /** Called when the body is complete or refused. */
  close(): void;
}

/** Reads the complete body; throws RouterError if it exceeds `limit` bytes. */
export async function readBody(
  request: IncomingMessage,
  limit: number,
  listener?: BodyListener,
): Promise<Buffer> {
  if (Number(request.headers['content-length']) > limit)
    throw buildTooLargeError(limit);
  const parts: Buffer[] = [];
  let size = 0;
  try {
    for await (const part of request.iterator({destroyOnReturn: false})) {
      size += (part as Buffer).length;
      if (size > limit) throw buildTooLargeError(limit);
      parts.push(part as Buffer);
      if (listener && !(await isComplete(request, size)))
        listener.noteArrived(size);
    }
  } catch (error) {
    throw toReadError(error);
  } finally {
    listener?.close();
  }
  return Buffer.concat(parts);
}

/** Whether the body of which `size` bytes were read has arrived completely. */
async function isComplete(
  request: IncomingMessage,
  size: number,
): Promise<boolean> {
  if (request.complete) return true;
  const length = request.headers['content-length'];
  if (length !== undefined) return size === Number(length);
  // The parser reports the end of a chunked body after its last part, even if both
  // were received together.
  await waitTurn();
  return request.complete;
}

function buildTooLargeError(limit: number): RouterError {
  return new RouterError(
    'body_too_large',
    `the body is larger than ${limit} bytes`,
    {verdict: 'not-run'},
  );
}

function toReadError(error: unknown): RouterError {
  if (error instanceof RouterError) return error;
  return new RouterError('cancelled', 'the caller left while sending', {
    verdict: 'not-run',
    cause: error,
  });
}

/** Parses a JSON object; throws RouterError if the body is not one. */
export function parseJsonObject(body: Buffer): Record<string, unknown> {
  const buildError = (message: string) =>
    new RouterError('invalid_request', message, {
      verdict: 'not-run',
      field: 'body',
    });
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch (error) {
    throw buildError(`the body is not JSON: ${(error as Error).message}`);
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw buildError('the body must be a JSON object');
  }
  return value as Record<string, unknown>;
}

/** Sends a JSON response. */
export function respondJson(
  exchange: HttpExchange,
  status: number,
  body: object,
  headers: Record<string, string> = {},
): void {
  respondBytes(exchange, status, Buffer.from(JSON.stringify(body)), {
    'content-type': 'application/json',
    ...headers,
  });
}

/** Sends a response with the given body. */
export function respondBytes(
  exchange: HttpExchange,
  status: number,
  body: Buffer,
  headers: Record<string, string>,
): void {
  const {request, response} = exchange;
  const isBodyRead = request.complete;
  if (!isBodyRead) response.setHeader('connection', 'close');
  response.writeHead(status, {
    [REQUEST_ID_HEADER]: exchange.requestId,
    'content-length': body.length,
    ...headers,
  });
  if (isBodyRead) response.end(body);
  else respondBeforeBodyEnd(exchange, body);
}

/**
 * Responds to a request whose body was not read completely. Closing immediately
 * would reset the connection before the caller reads the response. Therefore
 * the response is written first, and the rest of the body is discarded for a
 * short time.
 */
function respondBeforeBodyEnd({request, response}: HttpExchange, body: Buffer) {
  response.write(body);
  const finish = () => {
    clearTimeout(timer);
    response.end();
  };
  const timer = setTimeout(finish, LINGER_MS);
  request.once('end', finish).once('close', finish);
  request.resume();
}

/**
 * Closes the connection of a response, so that the caller sees that it is incomplete. A
 * body that ends with the connection, as for a caller of HTTP/1.0, would be complete
 * after an orderly close; therefore that connection is reset.
 */
export function abortResponse(response: ServerResponse): void {
  const {chunkedEncoding, headersSent, req, socket} = response;
  const isFramed = chunkedEncoding || req.httpVersion !== '1.0';
  if (isFramed || !headersSent || !socket) response.destroy();
  else socket.resetAndDestroy();
}

/** Sends an error response. Does nothing if a response has already started. */
export function respondError(exchange: HttpExchange, error: RouterError): void {
  if (exchange.response.headersSent) return;
  respondJson(
    exchange,
    error.status,
    buildErrorBody(error),
    buildErrorHeaders(error),
  );
}

/** Builds the headers with the verdict and, if busy, Retry-After. */
export function buildErrorHeaders(error: RouterError): Record<string, string> {
  const headers: Record<string, string> = {[VERDICT_HEADER]: error.verdict};
  const isBusy = error.status === 429 || error.status === 503;
  const retryAfterMs =
    error.retryAfterMs ?? (isBusy ? DEFAULT_RETRY_AFTER_MS : undefined);
  if (retryAfterMs === undefined) return headers;
  headers['retry-after'] = String(Math.max(1, Math.ceil(retryAfterMs / 1000)));
  headers['retry-after-ms'] = String(Math.ceil(retryAfterMs));
  return headers;
}
