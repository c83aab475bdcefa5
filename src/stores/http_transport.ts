/**
 * HTTP client of one platform service; failures say whether the request may
 * have run.
 */
import {Agent, type Dispatcher} from 'undici';
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
  close(): Promise<void>;
}

/**
 * Error codes raised before any byte of the request was written to a socket.
 */
const NEVER_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
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
  const agent = new Agent({
    connections,
    connect: {timeout: connectTimeoutMs},
    pipelining: 1,
  });

  return {
    async send(request) {
      const timeout = AbortSignal.timeout(
        request.timeoutMs ?? attemptTimeoutMs,
      );
      const signal = request.signal
        ? AbortSignal.any([timeout, request.signal])
        : timeout;
      try {
        const {origin, pathname, search} = new URL(request.url);
        const answer = await agent.request({
          origin,
          path: pathname + search,
          method: request.method,
          headers: request.headers,
          body: request.body as Dispatcher.DispatchOptions['body'],
          signal,
        });
        const body = Buffer.from(await answer.body.arrayBuffer());
        const headers = answer.headers as StoreResponse['headers'];
        return {status: answer.statusCode, headers, body};
      } catch (error) {
        throw toFailure(error);
      }
    },
    close: () => agent.destroy(),
  };
}

function toFailure(error: unknown): StoreFailure {
  const {code = '', name} = error as {code?: string; name?: string};
  const reason = name === 'TimeoutError' ? 'no answer in time' : code || name;
  return new StoreFailure(`the platform gave no answer: ${reason}`, {
    effect: NEVER_SENT_CODES.has(code) ? 'none' : 'unknown',
    retryable: true,
    cause: error,
  });
}
