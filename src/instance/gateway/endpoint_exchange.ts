/** Sends one request to an endpoint and reads its response. */
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {
  ConnectTimeoutError,
  type HttpConnections,
} from '../../common/http_connections.js';
import {isConnectionLost} from '../endpoints/connection_loss.js';

/** The request to send. */
export interface EndpointRequest {
  address: string;
  method: string;
  /** Path with the query. */
  target: string;
  /** Names and values, alternating. */
  headers: string[];
  body: Buffer;
}

/** Receives the response as it arrives; may throw to abort the exchange. */
export interface AnswerListener {
  onHead(status: number, headers: IncomingHttpHeaders): void;
  onData(chunk: Buffer): void;
}

/** How an exchange ended. */
export type ExchangeEnd =
  | {kind: 'complete'}
  /** No byte of the request was written to a connection. */
  | {kind: 'never-sent'; isTimeout: boolean; error: Error}
  /** The request was sent, and whether it ran is unknown. */
  | {kind: 'broken'; error: Error; isConnectionLost: boolean};

/** An exchange in progress. */
export interface EndpointExchange {
  ended: Promise<ExchangeEnd>;
  /** Ends the exchange and closes its connection. */
  abort(reason: Error): void;
  /** Stops reading the response until `resume`. */
  pause(): void;
  resume(): void;
}

/** Methods whose requests have no body unless they say so. */
const METHODS_WITHOUT_BODY = new Set(['GET', 'HEAD', 'DELETE', 'OPTIONS']);

/** Sends the request immediately. */
export function openExchange(
  connections: HttpConnections,
  request: EndpointRequest,
  listener: AnswerListener,
): EndpointExchange {
  let wasSent = false;
  let abortReason: Error | undefined;
  let response: IncomingMessage | undefined;
  let settle: (end: ExchangeEnd) => void = () => {};
  const ended = new Promise<ExchangeEnd>(resolve => {
    settle = resolve;
  });

  function fail(error: Error) {
    if (!wasSent) {
      const isTimeout = error instanceof ConnectTimeoutError;
      settle({kind: 'never-sent', isTimeout, error: abortReason ?? error});
      return;
    }
    settle({
      kind: 'broken',
      error: abortReason ?? error,
      isConnectionLost: !abortReason && isConnectionLost(error),
    });
  }

  /** Ends the exchange if the listener rejects what arrived. */
  function runListener(notify: () => void) {
    try {
      notify();
    } catch (error) {
      outgoing.destroy();
      fail(error as Error);
    }
  }

  /** Until a connection is established, no byte of the request is written. */
  function noteSocket(socket: Socket) {
    if (!socket.connecting) {
      wasSent = true;
      return;
    }
    socket.once('connect', () => {
      wasSent = true;
    });
  }

  function readResponse(incoming: IncomingMessage) {
    response = incoming;
    incoming.on('data', (chunk: Buffer) =>
      runListener(() => listener.onData(chunk)),
    );
    incoming.on('end', () => {
      if (incoming.complete) settle({kind: 'complete'});
    });
    incoming.on('error', fail);
    incoming.on('close', () => fail(buildLossError()));
    runListener(() => listener.onHead(incoming.statusCode!, incoming.headers));
  }

  const [host, port] = request.address.split(':');
  const outgoing = connections.openRequest('http:', {
    host,
    port,
    method: request.method,
    path: request.target,
    headers: buildHeaders(request),
  });
  outgoing.on('socket', noteSocket);
  outgoing.on('response', readResponse);
  outgoing.on('error', fail);
  outgoing.end(request.body);

  return {
    ended,
    abort(reason) {
      abortReason ??= reason;
      outgoing.destroy();
      fail(reason);
    },
    pause: () => void response?.pause(),
    resume: () => void response?.resume(),
  };
}

function buildHeaders({method, headers, body}: EndpointRequest): string[] {
  if (body.length === 0 && METHODS_WITHOUT_BODY.has(method)) return headers;
  return [...headers, 'Content-Length', String(body.length)];
}

/** The connection was closed before the response was complete. */
function buildLossError(): Error {
  const error = new Error('the connection closed before the response ended');
  return Object.assign(error, {code: 'ECONNRESET'});
}
