/** Sends one request to an endpoint and reads its response. */
import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
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

const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';

/** Sends the request immediately. */
export function openExchange(
  dispatcher: Dispatcher,
  request: EndpointRequest,
  listener: AnswerListener,
): EndpointExchange {
  let controller: Dispatcher.DispatchController | undefined;
  let abortReason: Error | undefined;
  let settle: (end: ExchangeEnd) => void = () => {};
  const ended = new Promise<ExchangeEnd>(resolve => {
    settle = resolve;
  });

  function fail(error: Error) {
    const {code = ''} = error as NodeJS.ErrnoException;
    if (controller) {
      settle({
        kind: 'broken',
        error: abortReason ?? error,
        isConnectionLost: !abortReason && isConnectionLost(error),
      });
      return;
    }
    const isTimeout = code === CONNECT_TIMEOUT_CODE;
    settle({kind: 'never-sent', isTimeout, error: abortReason ?? error});
  }

  dispatcher.dispatch(
    {
      origin: `http://${request.address}`,
      path: request.target,
      method: request.method as Dispatcher.HttpMethod,
      headers: request.headers,
      body: request.body.length > 0 ? request.body : null,
      headersTimeout: 0,
      bodyTimeout: 0,
    },
    {
      // Called once connected, just before the request is written: after an
      // earlier failure, no byte was sent.
      onRequestStart(started) {
        if (abortReason) {
          started.abort(abortReason);
          return;
        }
        controller = started;
      },
      onResponseStart(_controller, status, headers) {
        if (status >= 200) listener.onHead(status, headers);
      },
      onResponseData: (_controller, chunk) => listener.onData(chunk),
      onResponseEnd: () => settle({kind: 'complete'}),
      onResponseError: (_controller, error) => fail(error),
    },
  );

  return {
    ended,
    abort(reason) {
      abortReason ??= reason;
      controller?.abort(reason);
      // Before a connection exists there is nothing to abort. The queued
      // request is dropped when its connection opens; the caller does not wait
      // for that.
      if (!controller) fail(reason);
    },
    pause: () => controller?.pause(),
    resume: () => controller?.resume(),
  };
}
