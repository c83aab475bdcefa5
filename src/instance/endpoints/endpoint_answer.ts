/** The response of an endpoint while it is read. */
import type {Dispatcher} from 'undici';
import {END_OF_BODY_TIMEOUT_MS} from './constants.js';
import type {EndpointCall} from './endpoint_adapter.js';
import {toEndpointError} from './endpoint_failure.js';
import type {SilenceGuard} from './silence_guard.js';

/** The head of a response, and the means to read its body. */
export interface EndpointAnswer {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  /**
   * Reads the next piece of the body; undefined at its end. Throws RouterError
   * and then destroys the connection. This is a plain function and not a
   * generator, because the bytes of every token pass through it and each
   * generator would cost several promises.
   */
  read(): Promise<Buffer | undefined>;
  /** Ends a complete response; its connection can then be reused. */
  finish(): void;
  /** Drops a response that is not used and destroys its connection. */
  destroy(): void;
}

/** Builds a response; `guard` watches the call and is closed with it. */
export function buildAnswer(
  {statusCode, headers, body}: Dispatcher.ResponseData,
  guard: SilenceGuard,
  limits: EndpointCall['limits'],
): EndpointAnswer {
  let finished = false;
  // The first read has the longer timeout too, because an engine may send its
  // head at once but its first token only after prefill.
  let silenceMs = limits.first_byte_timeout;
  const parts = body.iterator({destroyOnReturn: false});
  body.on('error', () => {});

  function finish() {
    if (finished) return;
    finished = true;
    guard.close();
    // Data after the end mark is discarded without waiting for it. If the
    // endpoint does not end the body in time, the connection is destroyed.
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

/** Reads at most `limit` bytes of a body, then destroys the response. */
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
