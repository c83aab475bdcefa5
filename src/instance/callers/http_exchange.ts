/** Reading requests and writing answers on the callers' interface. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {buildErrorBody, RouterError} from '../../common/errors.js';
import {REQUEST_ID_HEADER, VERDICT_HEADER} from './constants.js';

/** One request of a caller and the way to answer it. */
export interface HttpExchange {
  request: IncomingMessage;
  response: ServerResponse;
  /** Path without the query. */
  path: string;
  query: URLSearchParams;
  requestId: string;
}

/** Reads the whole body; throws RouterError when it is larger than `limit`. */
export async function readBody(
  request: IncomingMessage,
  limit: number,
): Promise<Buffer> {
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of request) {
    size += (part as Buffer).length;
    if (size > limit) {
      throw new RouterError(
        'body_too_large',
        `the body is larger than ${limit} bytes`,
        {verdict: 'not-run'},
      );
    }
    parts.push(part as Buffer);
  }
  return Buffer.concat(parts);
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
  exchange.response.writeHead(status, {
    'content-type': 'application/json',
    [REQUEST_ID_HEADER]: exchange.requestId,
    ...headers,
  });
  exchange.response.end(JSON.stringify(body));
}

/**
 * Answers with an error. When the answer has begun, the error becomes its last
 * event, so that the caller knows it is not whole.
 */
export function respondError(exchange: HttpExchange, error: RouterError): void {
  const {response} = exchange;
  if (response.headersSent) {
    const body = JSON.stringify(buildErrorBody(error));
    response.end(`event: error\ndata: ${body}\n\n`);
    return;
  }
  const headers: Record<string, string> = {[VERDICT_HEADER]: error.verdict};
  if (error.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(error.retryAfterMs / 1000) || 1);
  }
  respondJson(exchange, error.status, buildErrorBody(error), headers);
}
