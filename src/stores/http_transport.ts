/**
 * HTTP client of one platform service; failures say whether the request may
 * have run.
 */
import type {ClientRequest, IncomingMessage} from 'node:http';
import {
  createHttpConnections,
  type HttpProtocol,
} from '../common/http_connections.js';
import {findFraming} from '../common/response_framing.js';
import {CONNECT_TIMEOUT_MS, CONNECTIONS} from './constants.js';
import {StoreFailure} from './store_failure.js';

export interface StoreRequest {
  method: 'GET' | 'HEAD' | 'PUT' | 'POST' | 'DELETE';
  url: string;
  headers: Record<string, string>;
  body?: string | Uint8Array;
  /** Timeout for the complete response; defaults to the transport's. */
  timeoutMs?: number;
  /** Aborts the request. */
  signal?: AbortSignal;
}

/** A complete response. */
export interface StoreResponse {
  status: number;
  headers: Record<string, string | undefined>;
  body: Buffer;
}

/** Sends requests; throws StoreFailure if there is no response. */
export interface HttpTransport {
  send(request: StoreRequest): Promise<StoreResponse>;
  close(): void;
}

/**
 * Error codes raised before any byte of the request was written to a socket.
 */
const NEVER_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ERR_CONNECT_TIMEOUT',
]);

export interface TransportOptions {
  connections?: number;
  connectTimeoutMs?: number;
}

/**
 * `attemptTimeoutMs` bounds one attempt from its start to the end of the
 * response.
 */
export function createHttpTransport(
  attemptTimeoutMs: number,
  {
    connections = CONNECTIONS,
    connectTimeoutMs = CONNECT_TIMEOUT_MS,
  }: TransportOptions = {},
): HttpTransport {
  const held = createHttpConnections({
    connectTimeoutMs,
    maxConnections: connections,
  });

  function openRequest({method, url, headers, body}: StoreRequest) {
    const {protocol, hostname, port, pathname, search} = new URL(url);
    const length = body === undefined ? 0 : Buffer.byteLength(body);
    const hasBody = length > 0 || method === 'PUT' || method === 'POST';
    return held.openRequest(protocol as HttpProtocol, {
      host: hostname,
      port,
      method,
      path: pathname + search,
      headers: hasBody ? {...headers, 'content-length': length} : headers,
    });
  }

  function readResponse(
    outgoing: ClientRequest,
    method: string,
  ): Promise<StoreResponse> {
    return new Promise((resolve, reject) => {
      outgoing.on('error', reject);
      outgoing.on('response', (incoming: IncomingMessage) => {
        const framing = findFraming(incoming, method);
        const parts: Buffer[] = [];
        const rejectPart = () =>
          reject(new Error('the connection closed before the response ended'));
        incoming.on('data', (part: Buffer) => parts.push(part));
        incoming.on('error', reject);
        incoming.on('end', () => {
          if (!held.isWhole(incoming, framing)) return rejectPart();
          resolve({
            status: incoming.statusCode!,
            headers: incoming.headers as StoreResponse['headers'],
            body: Buffer.concat(parts),
          });
        });
        incoming.on('close', rejectPart);
      });
    });
  }

  return {
    async send(request) {
      const {signal, timeoutMs = attemptTimeoutMs} = request;
      const outgoing = openRequest(request);
      const timer = setTimeout(
        () => outgoing.destroy(new TransportError('no answer in time')),
        timeoutMs,
      );
      const abort = () => outgoing.destroy(new TransportError('aborted'));
      if (signal?.aborted) abort();
      signal?.addEventListener('abort', abort, {once: true});
      try {
        outgoing.end(request.body);
        return await readResponse(outgoing, request.method);
      } catch (error) {
        throw toFailure(error as NodeJS.ErrnoException);
      } finally {
        clearTimeout(timer);
        signal?.removeEventListener('abort', abort);
      }
    },
    close: held.close,
  };
}

/** This side ended the request. */
class TransportError extends Error {
  readonly code: string;

  constructor(reason: string) {
    super(reason);
    this.name = 'TransportError';
    this.code = reason;
  }
}

function toFailure(error: NodeJS.ErrnoException): StoreFailure {
  const {code = '', name} = error;
  return new StoreFailure(`the platform gave no answer: ${code || name}`, {
    effect: NEVER_SENT_CODES.has(code) ? 'none' : 'unknown',
    retryable: true,
    cause: error,
  });
}
