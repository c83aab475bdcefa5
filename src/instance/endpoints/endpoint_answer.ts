/** The answer of an endpoint while it is read. */
import type {Dispatcher} from 'undici';
import {END_OF_BODY_TIMEOUT_MS} from './constants.js';
import type {EndpointCall} from './endpoint_adapter.js';
import {toEndpointError} from './endpoint_failure.js';
import type {SilenceGuard} from './silence_guard.js';

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

/** `guard` watches the call and is closed with the answer. */
export function buildAnswer(
  {statusCode, headers, body}: Dispatcher.ResponseData,
  guard: SilenceGuard,
  limits: EndpointCall['limits'],
): EndpointAnswer {
  let finished = false;
  // An engine may send its head at once and its first token after prefill.
  let silenceMs = limits.first_byte_timeout;
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
    guard.start(silenceMs);
    try {
      const {value, done} = await parts.next();
      guard.stop();
      silenceMs = limits.between_bytes_timeout;
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
