/** Reading requests and writing answers on the callers' interface. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {buildErrorBody, RouterError} from '../../common/errors.js';
import {
  DEFAULT_RETRY_AFTER_MS,
  LINGER_MS,
  REQUEST_ID_HEADER,
  VERDICT_HEADER,
} from './constants.js';

/** One request of a caller and the way to answer it. */
export interface HttpExchange {
  request: IncomingMessage;
  response: ServerResponse;
  /** Path without the query. */
  path: string;
  query: URLSearchParams;
  /** The query with its question mark, or nothing. */
  search: string;
  requestId: string;
  /** Aborted when the caller is gone or the instance must end. */
  signal: AbortSignal;
}

/** Reads the whole body; throws RouterError when it is larger than `limit`. */
export async function readBody(
  request: IncomingMessage,
  limit: number,
): Promise<Buffer> {
  if (Number(request.headers['content-length']) > limit) throw failSize(limit);
  const parts: Buffer[] = [];
  let size = 0;
  try {
    for await (const part of request.iterator({destroyOnReturn: false})) {
      size += (part as Buffer).length;
      if (size > limit) throw failSize(limit);
      parts.push(part as Buffer);
    }
  } catch (error) {
    throw toReadError(error);
  }
  return Buffer.concat(parts);
}

function failSize(limit: number): RouterError {
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

/** Parses a JSON object; throws RouterError saying where it is wrong. */
export function parseJsonObject(body: Buffer): Record<string, unknown> {
  const fail = (message: string) =>
    new RouterError('invalid_request', message, {
      verdict: 'not-run',
      field: 'body',
    });
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch (error) {
    throw fail(`the body is not JSON: ${(error as Error).message}`);
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw fail('the body must be a JSON object');
  }
  return value as Record<string, unknown>;
}

/** Answers with JSON. */
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

/** Answers with a body that is at hand. */
export function respondBytes(
  exchange: HttpExchange,
  status: number,
  body: Buffer,
  headers: Record<string, string>,
): void {
  const {request, response} = exchange;
  const isRead = request.complete;
  response.writeHead(status, {
    [REQUEST_ID_HEADER]: exchange.requestId,
    'content-length': body.length,
    ...headers,
    ...(isRead ? {} : {connection: 'close'}),
  });
  if (isRead) response.end(body);
  else respondUnread(exchange, body);
}

/**
 * Answers a request whose body was not read to its end. Closing at once resets
 * the connection, and the caller then reads no answer at all; so the answer is
 * sent whole, and the rest of the body thrown away for a short while.
 */
function respondUnread({request, response}: HttpExchange, body: Buffer) {
  response.write(body);
  const finish = () => {
    clearTimeout(timer);
    response.end();
  };
  const timer = setTimeout(finish, LINGER_MS);
  request.once('end', finish).once('close', finish);
  request.resume();
}

/** Answers with an error. Does nothing when the answer has begun. */
export function respondError(exchange: HttpExchange, error: RouterError): void {
  if (exchange.response.headersSent) return;
  respondJson(
    exchange,
    error.status,
    buildErrorBody(error),
    buildErrorHeaders(error),
  );
}

/** The verdict, and when to come back. */
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
