/** One request and its answer on a connection to an endpoint. */
import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import {isConnectionLost} from '../endpoints/connection_loss.js';

/** What is sent. */
export interface EndpointRequest {
  address: string;
  method: string;
  /** Path with the query. */
  target: string;
  /** Names and values, alternating. */
  headers: string[];
  body: Buffer;
}

/** Told of the answer as it comes; may throw to break the exchange off. */
export interface AnswerListener {
  onHead(status: number, headers: IncomingHttpHeaders): void;
  onData(chunk: Buffer): void;
}

/** How an exchange ended. */
export type ExchangeEnd =
  | {kind: 'complete'}
  /** No byte of the request was written to a connection. */
  | {kind: 'never-sent'; isTimeout: boolean; error: Error}
  /** The request was sent; what came of it is not known. */
  | {kind: 'broken'; error: Error; isConnectionLost: boolean};

/** A running exchange. */
export interface EndpointExchange {
  ended: Promise<ExchangeEnd>;
  /** Ends it and its connection. */
  abort(reason: Error): void;
  /** Takes no more bytes until `resume`. */
  pause(): void;
  resume(): void;
}

const CONNECT_TIMEOUT_CODE = 'UND_ERR_CONNECT_TIMEOUT';

/** Sends at once. */
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
      // Called when a connection is there and the request is about to be
      // written: whatever fails before has sent nothing.
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
      // Without a connection yet there is nothing to abort; what is queued is
      // dropped when its turn comes, and nobody need wait for that.
      if (!controller) fail(reason);
    },
    pause: () => controller?.pause(),
    resume: () => controller?.resume(),
  };
}
