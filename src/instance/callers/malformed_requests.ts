/** Responds on the socket to requests that Node's HTTP parser rejects. */
import {STATUS_CODES} from 'node:http';
import type {Socket} from 'node:net';
import {
  buildErrorBody,
  RouterError,
  type ErrorCode,
} from '../../common/errors.js';
import {MAX_HEADER_BYTES} from './constants.js';
import type {Exchanges} from './exchanges.js';
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
 * Sends an error response in place of the one to the request that cannot be read. If a
 * response to an earlier request on the connection is due, the connection only closes
 * after that one: its caller would take the refusal for it. If the response to the same
 * request has started, only ends it and closes the connection.
 */
export function refuseMalformed(
  error: NodeJS.ErrnoException,
  socket: Socket,
  exchanges: Pick<Exchanges, 'endReading' | 'findResponse'>,
): void {
  const isGone = error.code === 'ECONNRESET' || !socket.writable;
  if (!isGone && exchanges.endReading(socket)) return;
  const response = exchanges.findResponse(socket);
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
