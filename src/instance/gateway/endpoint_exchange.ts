/** Sends one request to an endpoint and reads its response. */
import type {
  ClientRequest,
  IncomingHttpHeaders,
  IncomingMessage,
} from 'node:http';
import type {Socket} from 'node:net';
import type {ReadCollector} from '../../common/socket_reads.js';
import type {ConnectionEnd} from '../../common/connection_end.js';
import {
  ConnectTimeoutError,
  type HttpConnections,
} from '../../common/http_connections.js';
import {findFraming, type Framing} from '../../common/response_framing.js';
import {isConnectionLost} from '../endpoints/connection_loss.js';
import {createNoiseGuard} from './noise_guard.js';

/** The request to send. */
export interface EndpointRequest {
  address: string;
  method: string;
  /** Path with the query. */
  target: string;
  /** Names and values, alternating. */
  headers: string[];
  body: Buffer;
  /**
   * Whether the body of the response, after its first bytes, may be delivered in ticks;
   * its end and a broken connection are noticed at once.
   */
  isReadInTicks?: boolean;
}

/** Receives the response as it arrives; may throw to abort the exchange. */
export interface AnswerListener {
  /** Called once there is a connection; from now on the endpoint may run the request. */
  onSent?(): void;
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

/** What was received of a response whose head was received. */
export interface ReceivedResponse {
  framing: Framing;
  /** Bytes of the body. */
  bytes: number;
  /** Undefined if the connection is still open, or this side closed it. */
  connectionEnd: ConnectionEnd | undefined;
}

/** An exchange in progress. */
export interface EndpointExchange {
  ended: Promise<ExchangeEnd>;
  describeResponse(): ReceivedResponse | undefined;
  /** Ends the exchange as complete, and closes its connection if more is to come. */
  discardRest(): void;
  /** Ends the exchange and closes its connection, unless the response is complete. */
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
  let framing: Framing = 'empty';
  let bytes = 0;
  let endpointSocket: Socket | undefined;
  let collector: ReadCollector | undefined;
  let parts: Buffer[] = [];
  let isRejected = false;
  let outgoing: ClientRequest | undefined;
  const noise = createNoiseGuard();
  let settle: (end: ExchangeEnd) => void = () => {};
  const ended = new Promise<ExchangeEnd>(resolve => {
    settle = end => {
      endpointSocket?.off('data', checkBytes);
      resolve(end);
    };
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
    if (isRejected) return;
    try {
      notify();
    } catch (error) {
      isRejected = true;
      outgoing?.destroy();
      fail(error as Error);
    }
  }

  /** Until a connection is established, no byte of the request is written. */
  function noteSocket(socket: Socket) {
    endpointSocket = socket;
    if (!socket.connecting) noteSent();
    else socket.once('connect', noteSent);
  }

  function noteSent() {
    wasSent = true;
    endpointSocket!.on('data', checkBytes);
    listener.onSent?.();
  }

  /** Called after the parser has read the bytes. */
  function checkBytes(chunk: Buffer) {
    if (response?.isPaused()) noise.noteUse();
    else runListener(() => noise.checkBytes(chunk, performance.now()));
  }

  /** Delivers the body in ticks from now on, one chunk for each tick. */
  function startTicks(socket: Socket) {
    function handleParts() {
      if (parts.length === 0) return;
      const chunk = Buffer.concat(parts);
      parts = [];
      runListener(() => listener.onData(chunk));
    }
    collector = connections.collectReads(socket, handleParts);
  }

  function readChunk(chunk: Buffer) {
    bytes += chunk.length;
    noise.noteUse();
    if (collector) {
      parts.push(chunk);
      return;
    }
    runListener(() => listener.onData(chunk));
    if (request.isReadInTicks) startTicks(response!.socket);
  }

  function readResponse(incoming: IncomingMessage) {
    response = incoming;
    framing = findFraming(incoming, request.method);
    noise.noteUse();
    incoming.on('data', readChunk);
    incoming.on('end', () => {
      collector?.stop();
      if (connections.isWhole(incoming, framing)) settle({kind: 'complete'});
    });
    incoming.on('error', fail);
    incoming.on('close', () => fail(buildLossError()));
    runListener(() => listener.onHead(incoming.statusCode!, incoming.headers));
  }

  const [host, port] = request.address.split(':');
  function send(): ClientRequest {
    const opened = connections.openRequest('http:', {
      host,
      port,
      method: request.method,
      path: request.target,
      headers: buildHeaders(request),
    });
    opened.on('socket', noteSocket);
    opened.on('response', readResponse);
    opened.on('information', () => runListener(noise.checkInterim));
    opened.on('error', fail);
    return opened.end(request.body);
  }

  try {
    outgoing = send();
  } catch (error) {
    // The id of an endpoint's event, which a resumption names, may be no legal header.
    fail(error as Error);
  }

  function describeResponse(): ReceivedResponse | undefined {
    if (!response || !endpointSocket) return undefined;
    const connectionEnd = connections.findConnectionEnd(endpointSocket);
    return {framing, bytes, connectionEnd};
  }

  return {
    ended,
    describeResponse,
    discardRest() {
      settle({kind: 'complete'});
      outgoing?.destroy();
    },
    abort(reason) {
      // What was received until now is used, and may complete the response.
      collector?.stop();
      const isWhole = response && connections.isWhole(response, framing);
      if (collector && isWhole && !isRejected) {
        settle({kind: 'complete'});
        return;
      }
      abortReason ??= reason;
      outgoing?.destroy();
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
