/** Requests and responses shared by the routes of the platform stand-in. */
import type {IncomingMessage, ServerResponse} from 'node:http';

/** A received request with its complete body. */
export interface ReceivedRequest {
  method: string;
  /** Path and query as sent, still percent-encoded. */
  target: string;
  url: URL;
  headers: Record<string, string | undefined>;
  body: Buffer;
}

/** A response to send. */
export interface PreparedResponse {
  status: number;
  headers?: Record<string, string>;
  body?: string | Buffer;
}

/** Reads a request and its complete body. */
export async function readRequest(
  request: IncomingMessage,
): Promise<ReceivedRequest> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part);
  const target = request.url ?? '/';
  return {
    method: request.method ?? 'GET',
    target,
    url: new URL(target, `http://${request.headers.host}`),
    headers: request.headers as ReceivedRequest['headers'],
    body: Buffer.concat(parts),
  };
}

/** Sends a response; to HEAD, without the body but with its length. */
export function sendResponse(
  request: ReceivedRequest,
  response: ServerResponse,
  prepared: PreparedResponse,
): void {
  const body = Buffer.from(prepared.body ?? '');
  response.writeHead(prepared.status, {
    'content-length': body.length,
    ...prepared.headers,
  });
  response.end(request.method === 'HEAD' ? undefined : body);
}

/** Builds a JSON response. */
export function buildJsonResponse(
  status: number,
  value: unknown,
): PreparedResponse {
  return {
    status,
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(value),
  };
}
