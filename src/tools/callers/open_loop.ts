/**
 * Open-loop load: arrivals do not wait for responses. A closed loop would send fewer
 * requests exactly when responses are late, and so hide the latency that is measured.
 */
import {createRandom} from '../../plays/random.js';

/** Load with Poisson arrivals. */
export interface OpenLoopOptions {
  ratePerSecond: number;
  durationMs: number;
  seed: number;
  /** Monotonic time in ms. */
  now: () => number;
}

/**
 * Calls `send` with the intended time of each arrival, also if the event loop is late
 * for it. Resolves when all calls have ended.
 */
export async function runOpenLoop(
  {ratePerSecond, durationMs, seed, now}: OpenLoopOptions,
  send: (intendedAt: number, index: number) => Promise<void>,
): Promise<void> {
  const random = createRandom(seed);
  const meanGapMs = 1000 / ratePerSecond;
  const startedAt = now();
  const running: Promise<void>[] = [];
  let dueAt = startedAt + random.drawExponential(meanGapMs);
  for (let index = 0; dueAt < startedAt + durationMs; index++) {
    const waitMs = dueAt - now();
    if (waitMs > 0) await new Promise(resolve => setTimeout(resolve, waitMs));
    running.push(send(dueAt, index));
    dueAt += random.drawExponential(meanGapMs);
  }
  await Promise.all(running);
}
