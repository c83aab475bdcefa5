/**
 * The open exchanges of an instance: who is being answered, who reads too
 * slowly, and how they all come to their end when the instance stops.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {CancelSchedule, Clock} from '../../common/clock.js';
import {RouterError} from '../../common/errors.js';
import {generateId} from '../../common/ids.js';
import type {Metrics} from '../../common/metrics.js';
import {SLOW_READ_CHECK_MS, SLOW_READ_TIMEOUT_MS} from './constants.js';
import type {HttpExchange} from './http_exchange.js';

/** The exchanges in progress. */
export interface Exchanges {
  /** The path is empty when the target of the request is none. */
  open(request: IncomingMessage, response: ServerResponse): HttpExchange;
  count(): number;
  /** The answer in progress on a connection. */
  findResponse(socket: Socket): ServerResponse | undefined;
  /** From now on, each answer is its connection's last. */
  startDraining(): void;
  /** Resolves when no exchange is open. */
  awaitNone(): Promise<void>;
  /** Ends what is still open with an error. */
  endAll(): void;
  stop(): void;
}

interface OpenExchange {
  socket: Socket;
  response: ServerResponse;
  controller: AbortController;
  unread: number;
  unreadSince: number;
}

/** Starts without exchanges. */
export function createExchanges(clock: Clock, metrics: Metrics): Exchanges {
  const open = new Set<OpenExchange>();
  let draining = false;
  let handleNone = () => {};
  const cutCounter = metrics.createCounter(
    'slow_callers_cut_total',
    'Callers cut off because they took nothing of their answer for too long.',
  );

  /**
   * A caller that stops reading holds its answer's buffers and, through
   * back-pressure, the endpoint's slot. Bytes that the connection has not
   * taken since long are the sign; closing it frees both.
   */
  function checkReaders() {
    const now = clock.now();
    for (const exchange of open) {
      const {writableLength} = exchange.socket;
      if (writableLength === 0 || writableLength !== exchange.unread) {
        exchange.unread = writableLength;
        exchange.unreadSince = now;
      } else if (now - exchange.unreadSince >= SLOW_READ_TIMEOUT_MS) {
        cutCounter.inc();
        exchange.socket.destroy();
      }
    }
    cancelCheck = clock.schedule(SLOW_READ_CHECK_MS, checkReaders);
  }

  let cancelCheck: CancelSchedule = clock.schedule(
    SLOW_READ_CHECK_MS,
    checkReaders,
  );

  function addExchange(
    request: IncomingMessage,
    response: ServerResponse,
  ): OpenExchange {
    const exchange: OpenExchange = {
      socket: request.socket,
      response,
      controller: new AbortController(),
      unread: 0,
      unreadSince: clock.now(),
    };
    open.add(exchange);
    response.on('close', () => {
      open.delete(exchange);
      // An abort builds an error with its stack: none is due after a whole
      // answer, when nobody waits for the signal any more.
      if (!response.writableFinished) exchange.controller.abort();
      if (open.size === 0) handleNone();
    });
    return exchange;
  }

  return {
    count: () => open.size,
    findResponse: socket =>
      [...open].find(exchange => exchange.socket === socket)?.response,
    open(request, response) {
      const {controller} = addExchange(request, response);
      if (draining) response.setHeader('connection', 'close');
      const url = parseTarget(request.url ?? '/');
      return {
        request,
        response,
        path: url?.pathname ?? '',
        query: url?.searchParams ?? new URLSearchParams(),
        search: url?.search ?? '',
        // Always our own: two callers that chose the same id would be given
        // each other's stream by an engine that resumes by id.
        requestId: generateId('req'),
        signal: controller.signal,
      };
    },
    startDraining() {
      draining = true;
      for (const {response} of open) {
        if (!response.headersSent) response.setHeader('connection', 'close');
      }
    },
    awaitNone: () =>
      new Promise(resolve => {
        handleNone = resolve;
        if (open.size === 0) resolve();
      }),
    endAll() {
      const reason = new RouterError('draining', 'the instance is stopping', {
        verdict: 'not-run',
      });
      for (const {controller} of open) controller.abort(reason);
    },
    stop: () => cancelCheck(),
  };
}

/** Undefined for a target that is no path, such as `//` or `*`. */
function parseTarget(target: string): URL | undefined {
  if (!target.startsWith('/')) return undefined;
  try {
    return new URL(`http://instance${target}`);
  } catch {
    return undefined;
  }
}
