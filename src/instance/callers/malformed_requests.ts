/** Responds on the socket to requests that Node's HTTP parser rejects. */
import {STATUS_CODES, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
  buildErrorBody,
  RouterError,
  type ErrorCode,
} from '../../common/errors.js';
import {MAX_HEADER_BYTES} from './constants.js';
import {abortResponse, buildErrorHeaders} from './http_exchange.js';

interface Refusal {
  code: ErrorCode;
  message: string;
}

/** Refusals by the parser's error code; other codes mean malformed HTTP. */
const REFUSALS: Record<string, Refusal> = {
  HPE_HEADER_OVERFLOW: {
    code: 'headers_too_large',
    message: `the headers are larger than ${MAX_HEADER_BYTES} bytes`,
  },
  ERR_HTTP_REQUEST_TIMEOUT: {
    code: 'request_timeout',
    message: 'the request took too long to send',
  },
};

const MALFORMED: Refusal = {
  code: 'invalid_request',
  message: 'the request is not HTTP',
};

/**
 * Sends an error response. If `response`, the one in progress on the connection, has
 * started, only ends it and closes the connection.
 */
export function refuseMalformed(
  error: NodeJS.ErrnoException,
  socket: Socket,
  response: ServerResponse | undefined,
): void {
  const isGone = error.code === 'ECONNRESET' || !socket.writable;
  if (response?.headersSent) abortResponse(response);
  if (isGone || response?.headersSent) {
    socket.destroy();
    return;
  }
  const {code, message} = REFUSALS[error.code ?? ''] ?? MALFORMED;
  socket.end(
    formatResponse(new RouterError(code, message, {verdict: 'not-run'})),
  );
}

function formatResponse(error: RouterError): string {
  const body = JSON.stringify(buildErrorBody(error));
  const headers = {
    ...buildErrorHeaders(error),
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
    connection: 'close',
  };
  const lines = Object.entries(headers).map(pair => `${pair.join(': ')}\r\n`);
  const statusLine = `HTTP/1.1 ${error.status} ${STATUS_CODES[error.status]}`;
  return `${statusLine}\r\n${lines.join('')}\r\n${body}`;
}
