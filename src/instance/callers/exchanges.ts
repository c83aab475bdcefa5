/**
 * Tracks the open HTTP exchanges of an instance, disconnects callers that read
 * too slowly, and drains the exchanges when the instance stops.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {CancelSchedule, Clock} from '../../common/clock.js';
import {RouterError} from '../../common/errors.js';
import {generateId} from '../../common/ids.js';
import type {Metrics} from '../../common/metrics.js';
import {SLOW_READ_CHECK_MS, SLOW_READ_TIMEOUT_MS} from './constants.js';
import {abortResponse, type HttpExchange} from './http_exchange.js';

/** The open exchanges. */
export interface Exchanges {
  /**
   * Registers an exchange. Its path is empty if the request target is not a
   * path. Undefined if the connection closes before it could carry the response:
   * such a request must not run.
   */
  open(
    request: IncomingMessage,
    response: ServerResponse,
  ): HttpExchange | undefined;
  count(): number;
  /** Returns the response in progress on a connection. */
  findResponse(socket: Socket): ServerResponse | undefined;
  /**
   * Ends the reading of a connection on which no further request can be read. A request
   * that was not received completely never runs. Returns whether one that was is being
   * answered; the connection then closes in order after that response.
   */
  endReading(socket: Socket): boolean;
  /** From now on, connections close after their current response. */
  startDraining(): void;
  /**
   * Runs `task` as soon as the bytes of every response that has ended are sent;
   * immediately if they are.
   */
  runWhenSent(task: () => void): void;
  /** Resolves when no exchange is open. */
  awaitIdle(): Promise<void>;
  /** Aborts the open exchanges with an error. */
  abortAll(): void;
  stop(): void;
}

interface OpenExchange {
  socket: Socket;
  request: IncomingMessage;
  response: ServerResponse;
  controller: AbortController;
  /** Whether the connection closes after the response. */
  isLast: boolean;
  /** Bytes that were sent on the socket. */
  sentBytes: number;
  unchangedSince: number;
}

export function createExchanges(clock: Clock, metrics: Metrics): Exchanges {
  const openExchanges = new Set<OpenExchange>();
  /** Open exchanges of each connection, oldest first. */
  const connections = new Map<Socket, OpenExchange[]>();
  let isDraining = false;
  let handleIdle = () => {};
  let handleSent: (() => void) | undefined;
  const slowCallerCounter = metrics.createCounter(
    'slow_callers_cut_total',
    'Callers cut off because they took nothing of their answer for too long.',
  );

  /**
   * Disconnects callers that stopped reading. Such a caller occupies the
   * buffers of its response and, through back pressure, a slot at the endpoint.
   * It is detected by the number of sent bytes, which does not change although more
   * are buffered. The number of buffered bytes alone may stay the same while a
   * caller reads and as many are added.
   */
  function checkSlowCallers() {
    const now = clock.now();
    for (const exchange of openExchanges) {
      const {writableLength, bytesWritten} = exchange.socket;
      const sentBytes = bytesWritten - writableLength;
      if (writableLength === 0 || sentBytes !== exchange.sentBytes) {
        exchange.sentBytes = sentBytes;
        exchange.unchangedSince = now;
      } else if (now - exchange.unchangedSince >= SLOW_READ_TIMEOUT_MS) {
        slowCallerCounter.inc();
        abortResponse(exchange.response);
        exchange.socket.destroy();
      }
    }
    cancelCheck = clock.schedule(SLOW_READ_CHECK_MS, checkSlowCallers);
  }

  let cancelCheck: CancelSchedule = clock.schedule(
    SLOW_READ_CHECK_MS,
    checkSlowCallers,
  );

  /** Exchanges of the same connection are answered in the order of their requests. */
  function findConnection(socket: Socket): OpenExchange[] {
    const known = connections.get(socket);
    if (known) return known;
    const added: OpenExchange[] = [];
    connections.set(socket, added);
    // A response that waits for an earlier one on its connection emits no `close`
    // when that connection closes.
    socket.once('close', () => {
      connections.delete(socket);
      for (const exchange of [...added]) endExchange(exchange);
    });
    return added;
  }

  function endExchange(exchange: OpenExchange) {
    if (!openExchanges.delete(exchange)) return;
    const {socket, response, controller} = exchange;
    const others = connections.get(socket);
    others?.splice(others.indexOf(exchange), 1);
    // Aborting creates an error with a stack trace. After a complete response
    // nothing waits for the signal, so that cost is avoided.
    if (!response.writableFinished) controller.abort();
    notifySent();
    if (openExchanges.size === 0) handleIdle();
  }

  function notifySent() {
    if (!handleSent || [...openExchanges].some(isUnsent)) return;
    const handle = handleSent;
    handleSent = undefined;
    handle?.();
  }

  /**
   * Closes a connection in order after its last response, also if the head of that
   * response was sent before that was known.
   */
  function closeIfLast(exchange: OpenExchange) {
    const newest = connections.get(exchange.socket)?.at(-1);
    const isLast = exchange.isLast || (isDraining && newest === exchange);
    if (isLast) exchange.socket.destroySoon();
  }

  function addExchange(
    request: IncomingMessage,
    response: ServerResponse,
  ): OpenExchange {
    const exchange: OpenExchange = {
      socket: request.socket,
      request,
      response,
      controller: new AbortController(),
      isLast: false,
      sentBytes: request.socket.bytesWritten,
      unchangedSince: clock.now(),
    };
    openExchanges.add(exchange);
    findConnection(request.socket).push(exchange);
    response.on('finish', () => closeIfLast(exchange));
    response.on('close', () => endExchange(exchange));
    return exchange;
  }

  /** Only the last response on a connection may announce its close. */
  function markLast(response: ServerResponse, earlier?: ServerResponse) {
    if (earlier && !earlier.headersSent) {
      earlier.setHeader('connection', 'keep-alive');
    }
    if (!response.headersSent) response.setHeader('connection', 'close');
  }

  return {
    count: () => openExchanges.size,
    findResponse: socket => connections.get(socket)?.at(0)?.response,
    endReading(socket) {
      const exchanges = connections.get(socket) ?? [];
      for (const {request, controller} of exchanges) {
        if (!request.complete) controller.abort();
      }
      const last = exchanges.filter(({request}) => request.complete).at(-1);
      if (!last) return false;
      last.isLast = true;
      markLast(last.response);
      return true;
    },
    open(request, response) {
      const {socket} = request;
      const earlier = connections.get(socket)?.at(-1);
      if (!socket.writable || isLastExchange(earlier)) {
        request.resume();
        return undefined;
      }
      const {controller} = addExchange(request, response);
      if (isDraining) markLast(response, earlier?.response);
      const url = parseTarget(request.url ?? '/');
      return {
        request,
        response,
        path: url?.pathname ?? '',
        query: url?.searchParams ?? new URLSearchParams(),
        search: url?.search ?? '',
        // Never the caller's id: if two callers chose the same id, an engine
        // that resumes by id would give them each other's stream.
        requestId: generateId('req'),
        signal: controller.signal,
      };
    },
    startDraining() {
      isDraining = true;
      for (const exchanges of connections.values()) {
        const newest = exchanges.at(-1);
        if (newest) markLast(newest.response);
      }
    },
    runWhenSent(task) {
      handleSent = task;
      notifySent();
    },
    awaitIdle: () =>
      new Promise(resolve => {
        handleIdle = resolve;
        if (openExchanges.size === 0) resolve();
      }),
    abortAll() {
      const reason = new RouterError('draining', 'the instance is stopping', {
        verdict: 'not-run',
      });
      for (const {controller, request, response} of openExchanges) {
        controller.abort(reason);
        // Nothing waits for the signal while a caller delays the end of its request
        // or of its complete response.
        if (response.writableEnded || !request.complete)
          abortResponse(response);
      }
    },
    stop: () => cancelCheck(),
  };
}

function isUnsent({response}: OpenExchange): boolean {
  return response.writableEnded && !response.writableFinished;
}

/**
 * Whether no other response can follow on the connection: it was marked so, the head
 * announced the close, or the body may end with the connection.
 */
function isLastExchange(exchange: OpenExchange | undefined): boolean {
  if (!exchange) return false;
  const {response, isLast} = exchange;
  if (isLast || response.req.httpVersion === '1.0') return true;
  return response.headersSent && response.getHeader('connection') === 'close';
}

/**
 * Parses a request target; undefined if it is not a path, such as `//` or `*`.
 */
function parseTarget(target: string): URL | undefined {
  if (!target.startsWith('/')) return undefined;
  try {
    return new URL(`http://instance${target}`);
  } catch {
    return undefined;
  }
}
