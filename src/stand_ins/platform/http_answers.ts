/** What the routes of the platform stand-in have in common. */
import type {IncomingMessage, ServerResponse} from 'node:http';

/** A request with its body read. */
export interface ReceivedRequest {
  method: string;
  /** As sent: path and query, still percent-encoded. */
  target: string;
  url: URL;
  headers: Record<string, string | undefined>;
  body: Buffer;
}

/** What is sent back. */
export interface PreparedAnswer {
  status: number;
  headers?: Record<string, string>;
  body?: string | Buffer;
}

/** Reads a request to its end. */
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

/** Sends an answer; HEAD leaves out the body but not its length. */
export function sendAnswer(
  request: ReceivedRequest,
  response: ServerResponse,
  answer: PreparedAnswer,
): void {
  const body = Buffer.from(answer.body ?? '');
  response.writeHead(answer.status, {
    'content-length': body.length,
    ...answer.headers,
  });
  response.end(request.method === 'HEAD' ? undefined : body);
}

/** An answer of JSON. */
export function buildJsonAnswer(
  status: number,
  value: unknown,
): PreparedAnswer {
  return {
    status,
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(value),
  };
}
