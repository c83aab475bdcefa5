/**
 * Tells whether an endpoint goes on with a response, and when to stop reading a body that
 * is discarded. Bytes alone are no sign of life: an endpoint may send them without end.
 */
import type {Clock} from '../../common/clock.js';
import {
  DISCARD_TIMEOUT_MS,
  MAX_DISCARDED_BYTES,
  NOISE_TIMEOUT_MS,
} from './constants.js';

/** Watches the body of one response. */
export interface RunProgress {
  /**
   * Whether the data that was just received is a sign that the endpoint goes on. Throws
   * if there was none for too long while data arrived.
   */
  checkData(): boolean;
  /** Notes that the time until now says nothing of the endpoint. */
  restart(): void;
}

/** Without events to count, any data is a sign. */
export function createRunProgress(
  clock: Clock,
  countEvents: () => number | undefined = () => undefined,
): RunProgress {
  let events = 0;
  /** Time of the first data since the last sign. */
  let noiseAt: number | undefined;

  function hasNewEvents(): boolean {
    const count = countEvents();
    if (count !== undefined && count === events) return false;
    events = count ?? 0;
    return true;
  }

  return {
    checkData() {
      if (hasNewEvents()) {
        noiseAt = undefined;
        return true;
      }
      noiseAt ??= clock.now();
      if (clock.now() - noiseAt <= NOISE_TIMEOUT_MS) return false;
      throw new Error('the endpoint sent bytes that complete no event');
    },
    restart() {
      noiseAt = undefined;
    },
  };
}

/**
 * Creates a check that is called with the length of each piece of a body that is
 * discarded; returns whether enough was read.
 */
export function createDiscardLimit(clock: Clock): (length: number) => boolean {
  let startedAt: number | undefined;
  let discarded = 0;
  return length => {
    startedAt ??= clock.now();
    discarded += length;
    const tookMs = clock.now() - startedAt;
    return discarded > MAX_DISCARDED_BYTES || tookMs > DISCARD_TIMEOUT_MS;
  };
}
