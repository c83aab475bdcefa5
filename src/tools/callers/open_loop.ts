/**
 * Arrivals that do not wait for answers. A closed loop would send less exactly
 * when answers are late, and hide the lateness it is meant to measure.
 */
import {createRandom} from '../../plays/random.js';

/** Poisson arrivals. */
export interface OpenLoopOptions {
  ratePerSecond: number;
  durationMs: number;
  seed: number;
  /** Monotonic time in ms. */
  now: () => number;
}

/**
 * Calls `send` with the time of each arrival, also of those that the event loop
 * was late for; resolves when all have ended.
 */
export async function runOpenLoop(
  {ratePerSecond, durationMs, seed, now}: OpenLoopOptions,
  send: (askedAt: number, index: number) => Promise<void>,
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
