/**
 * Estimates how many online requests arrive during one batch prefill. Each of
 * them must find an endpoint that is free of batch prefill.
 *
 * Load pattern: steady online requests beside batch work. Without an estimate,
 * either every endpoint is in batch prefill when a request arrives, or
 * endpoints are kept free for requests that do not come. The estimate is the
 * mean plus two standard deviations of a Poisson count, which covers 97 in 100
 * moments. Bursts are served by yields instead.
 */
import {
  BURST_RATIO,
  BURST_WINDOW_MS,
  MIN_BURST_ARRIVALS,
} from './scheduler_constants.js';

/** The rate of recent arrivals. */
export interface OnlineDemand {
  note(now: number): void;
  /** Returns the requests per ms, averaged over the window. */
  getRate(now: number): number;
  /** Upper estimate of the arrivals within `ms`, exceeded only rarely. */
  estimateArrivals(ms: number, now: number): number;
}

/** Whether requests arrive at several times the usual rate. */
export function isBurst(
  recent: OnlineDemand,
  usual: OnlineDemand,
  now: number,
): boolean {
  const rate = recent.getRate(now);
  const hasEnoughArrivals = rate * BURST_WINDOW_MS >= MIN_BURST_ARRIVALS;
  return hasEnoughArrivals && rate > BURST_RATIO * usual.getRate(now);
}

/**
 * Estimates the requests about to arrive from those of the last
 * BURST_WINDOW_MS. In a burst the estimate doubles, since a burst is detected
 * at its beginning.
 */
export function estimateUpcoming(
  recent: OnlineDemand,
  usual: OnlineDemand,
  now: number,
): number {
  const arrived = recent.getRate(now) * BURST_WINDOW_MS;
  return Math.ceil(arrived * (isBurst(recent, usual, now) ? 2 : 1));
}

/** Creates a rate of zero; `windowMs` is the averaging window. */
export function createOnlineDemand(windowMs: number): OnlineDemand {
  let rate = 0;
  let updatedAt = 0;

  function updateRate(now: number) {
    rate *= Math.exp((updatedAt - now) / windowMs);
    updatedAt = now;
  }

  function getRate(now: number): number {
    updateRate(now);
    return rate;
  }

  return {
    note(now) {
      updateRate(now);
      rate += 1 / windowMs;
    },
    getRate,
    estimateArrivals(ms, now) {
      const mean = getRate(now) * ms;
      return Math.ceil(mean + 2 * Math.sqrt(mean));
    },
  };
}
