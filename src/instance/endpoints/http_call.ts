/** One HTTP call to an endpoint, with verdicts on how it failed. */
import {errors as undiciErrors, request as sendRequest} from 'undici';
import type {Dispatcher} from 'undici';
import {RouterError} from '../../common/errors.js';
import type {Metrics} from '../../common/metrics.js';
import {createEndpointConnections} from './connections.js';
import {
  DEFAULT_RETRY_AFTER_MS,
  END_OF_BODY_TIMEOUT_MS,
  NOT_ADMITTED_HEADER,
  REQUEST_ID_HEADER,
} from './constants.js';
import type {EndpointCall} from './endpoint_adapter.js';
import {createSilenceGuard, type SilenceGuard} from './silence_guard.js';

/** The head of an answer and the way to read its body. */
export interface EndpointAnswer {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  /**
   * The next piece of the body, undefined at its end. Throws RouterError, and
   * the connection is then destroyed. A plain function and no generator: the
   * bytes of every token pass here, and each generator on their way costs
   * several promises.
   */
  read(): Promise<Buffer | undefined>;
  /** The answer is whole: the connection may serve again when it ends. */
  finish(): void;
  /** The answer is not used: destroys the connection. */
  destroy(): void;
}

/** The connections to endpoints. */
export interface EndpointClient {
  /** Throws RouterError. Every answer must be read, finished or destroyed. */
  send(call: EndpointCall): Promise<EndpointAnswer>;
  /** Connections and running calls by endpoint address. */
  describeState(): object;
  close(): Promise<void>;
}

/** Keeps connections open between calls; a silent one is destroyed. */
export function createEndpointClient(metrics?: Metrics): EndpointClient {
  const connections = createEndpointConnections();
  const failures = metrics?.createCounter(
    'endpoint_failures_total',
    'Calls to endpoints that gave no answer, by error code and verdict.',
    ['code', 'verdict'],
  );

  async function sendGuarded(
    call: EndpointCall,
    guard: SilenceGuard,
  ): Promise<EndpointAnswer> {
    const {limits} = call;
    guard.start(limits.first_byte_timeout);
    const answer = await sendRequest(
      `http://${call.endpoint.address}${call.path}`,
      {
        dispatcher: call.freshConnection
          ? connections.getFresh(limits)
          : connections.getKept(limits),
        method: call.method as Dispatcher.HttpMethod,
        headers: {...call.headers, [REQUEST_ID_HEADER]: call.requestId},
        body: call.body.length > 0 ? call.body : undefined,
        headersTimeout: 0,
        bodyTimeout: 0,
        signal: guard.signal,
      },
    );
    guard.stop();
    return buildAnswer(answer, guard, limits.between_bytes_timeout);
  }

  return {
    async send(call) {
      const guard = createSilenceGuard(call.signal);
      try {
        checkNotAborted(call.signal);
        return await sendGuarded(call, guard);
      } catch (thrown) {
        guard.close();
        const error = toEndpointError(thrown);
        failures?.inc({code: error.code, verdict: error.verdict});
        throw error;
      }
    },
    describeState: () => connections.describeState(),
    close: () => connections.close(),
  };
}

function checkNotAborted(signal: AbortSignal) {
  if (!signal.aborted) return;
  throw new RouterError('cancelled', 'the request was cancelled', {
    verdict: 'not-run',
    cause: signal.reason,
  });
}

function buildAnswer(
  {statusCode, headers, body}: Dispatcher.ResponseData,
  guard: SilenceGuard,
  betweenBytesMs: number,
): EndpointAnswer {
  let finished = false;
  const parts = body.iterator({destroyOnReturn: false});
  body.on('error', () => {});

  function finish() {
    if (finished) return;
    finished = true;
    guard.close();
    // What an endpoint sends after its answer's end mark is not awaited; an
    // endpoint that does not end the body in time loses the connection.
    const timer = setTimeout(() => body.destroy(), END_OF_BODY_TIMEOUT_MS);
    body.once('close', () => clearTimeout(timer));
    body.dump({limit: Number.MAX_SAFE_INTEGER}).catch(() => {});
  }

  function closeEarly() {
    if (finished) return;
    finished = true;
    guard.close();
    body.destroy();
  }

  async function read(): Promise<Buffer | undefined> {
    guard.start(betweenBytesMs);
    try {
      const {value, done} = await parts.next();
      guard.stop();
      if (!done) return value;
      finished = true;
      guard.close();
      return undefined;
    } catch (error) {
      closeEarly();
      throw toEndpointError(error);
    }
  }

  return {status: statusCode, headers, read, finish, destroy: closeEarly};
}

/** A transport failure as the caller will see it. */
export function toEndpointError(error: unknown): RouterError {
  if (error instanceof RouterError) return error;
  const {code, name} = error as {code?: string; name?: string};
  return new RouterError(
    'endpoint_failed',
    `the endpoint failed: ${code ?? name ?? 'unknown'}`,
    {
      verdict: isProofOfNotSent(error) ? 'not-run' : 'may-have-run',
      cause: error,
    },
  );
}

/**
 * Whether a failure proves that no byte of the request left: only a failure
 * to connect does. A reset of a connection that was already open proves
 * nothing, even an idle one: the peer may have read the request before it
 * closed, and then its effect is there although no answer came. The same codes
 * appear on open connections too (an unreachable host is reported on either),
 * so the failed system call is looked at and not the code alone.
 */
function isProofOfNotSent(error: unknown): boolean {
  if (error instanceof undiciErrors.ConnectTimeoutError) return true;
  return (error as {syscall?: string}).syscall === 'connect';
}

/** Throws when the endpoint says that it refused before admission. */
export function checkAdmitted({status, headers}: EndpointAnswer): void {
  if (status !== 503 || headers[NOT_ADMITTED_HEADER] !== 'true') return;
  const seconds = Number(headers['retry-after']);
  throw new RouterError('overloaded', 'the endpoint admits no more requests', {
    verdict: 'not-run',
    retryAfterMs: seconds > 0 ? seconds * 1000 : DEFAULT_RETRY_AFTER_MS,
  });
}

/** An answer to somebody else's request must reach nobody. */
export function checkRequestId(requestId: string, echoed: unknown): void {
  if (echoed === requestId) return;
  throw new RouterError('answer_mismatch', 'the endpoint mixed up answers', {
    verdict: 'may-have-run',
  });
}

/**
 * Ends an answer that is not used. A refusal's connection can serve again; any
 * other is destroyed, since what still comes on it is late or another's.
 */
export function cancelAnswer(answer: EndpointAnswer, error: unknown): void {
  if (toEndpointError(error).verdict === 'not-run') answer.finish();
  else answer.destroy();
}

/** Reads at most `limit` bytes of a body, then ends its connection. */
export async function readBounded(
  answer: EndpointAnswer,
  limit: number,
): Promise<Buffer> {
  const parts: Buffer[] = [];
  let size = 0;
  for (
    let part = await answer.read();
    part && size < limit;
    part = await answer.read()
  ) {
    parts.push(part);
    size += part.length;
  }
  answer.destroy();
  return Buffer.concat(parts).subarray(0, limit);
}
