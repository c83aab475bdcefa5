/**
 * Ends an exchange whose endpoint sends bytes that are no response.
 *
 * Failure: a broken endpoint sends bytes without end, in place of a head or within a
 * body. Each of them looks like a sign of life, so that no silence timeout ends the
 * exchange, and the HTTP parser bounds sizes only: a slow sender stays below its limits
 * until the caller's time is up.
 */
import {
  HEAD_TIMEOUT_MS,
  MAX_HEAD_BYTES,
  MAX_INTERIM_RESPONSES,
  NOISE_TIMEOUT_MS,
} from './constants.js';

/** Watches the bytes of one exchange. Methods that receive bytes throw if they are noise. */
export interface NoiseGuard {
  /** Receives bytes after the parser, `now` being monotonic time in ms. */
  checkBytes(bytes: Buffer, now: number): void;
  /** Notes an interim response (1xx), which precedes the final one. */
  checkInterim(): void;
  /** Notes the head, a part of the body, or that the reader was slow. */
  noteUse(): void;
}

/** First byte of a status line, `HTTP/`. */
const FIRST_BYTE = 'H'.charCodeAt(0);

export function createNoiseGuard(): NoiseGuard {
  let hasHead = false;
  /** Whether there was a use since the last check. */
  let wasUsed = false;
  /** Time of the first bytes since the last use. */
  let noiseAt: number | undefined;
  let headAt: number | undefined;
  let headBytes = 0;
  let interims = 0;

  function checkHeadBytes(bytes: Buffer, now: number) {
    if (headAt === undefined && bytes[0] !== FIRST_BYTE) {
      throw new Error('the endpoint sent bytes that are no response');
    }
    headAt ??= now;
    headBytes += bytes.length;
    if (headBytes > MAX_HEAD_BYTES || now - headAt > HEAD_TIMEOUT_MS) {
      const tookMs = Math.round(now - headAt);
      const what = `${headBytes} bytes in ${tookMs} ms`;
      throw new Error(`the endpoint sent ${what} without a complete head`);
    }
  }

  function checkBodyBytes(now: number) {
    if (wasUsed) {
      wasUsed = false;
      return;
    }
    noiseAt ??= now;
    if (now - noiseAt <= NOISE_TIMEOUT_MS) return;
    const tookMs = Math.round(now - noiseAt);
    throw new Error(`the endpoint sent no part of a body in ${tookMs} ms`);
  }

  return {
    checkBytes(bytes, now) {
      if (hasHead) checkBodyBytes(now);
      else checkHeadBytes(bytes, now);
    },
    checkInterim() {
      headAt = undefined;
      headBytes = 0;
      if (++interims <= MAX_INTERIM_RESPONSES) return;
      throw new Error(`the endpoint sent ${interims} interim responses`);
    },
    noteUse() {
      hasHead = true;
      wasUsed = true;
      noiseAt = undefined;
    },
  };
}
