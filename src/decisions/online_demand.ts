/**
 * How many online requests arrive in the time of one batch prefill: what must
 * find a quiet endpoint.
 *
 * Pattern of load: steady questions beside batch work. With no measure of
 * them, either every endpoint is in batch prefill when one comes, or endpoints
 * are kept quiet for questions that do not come. Mean and two standard
 * deviations of a Poisson count cover 97 in 100 moments; bursts are answered
 * by yielding.
 */
import {
  BURST_RATIO,
  BURST_WINDOW_MS,
  MIN_BURST_ARRIVALS,
} from './scheduler_constants.js';

/** Arrivals of the recent past. */
export interface OnlineDemand {
  note(now: number): void;
  /** Requests a ms, averaged over the window. */
  getRate(now: number): number;
  /** Arrivals within `ms` that are exceeded only rarely. */
  estimateArrivals(ms: number, now: number): number;
}

/** Whether requests arrive several times as fast as usual. */
export function isBurst(
  recent: OnlineDemand,
  usual: OnlineDemand,
  now: number,
): boolean {
  const rate = recent.getRate(now);
  const isCrowd = rate * BURST_WINDOW_MS >= MIN_BURST_ARRIVALS;
  return isCrowd && rate > BURST_RATIO * usual.getRate(now);
}

/**
 * Requests about to arrive by those of the last BURST_WINDOW_MS; twice as many
 * once that is a burst, since it has only begun when it is seen.
 */
export function estimateArriving(
  recent: OnlineDemand,
  usual: OnlineDemand,
  now: number,
): number {
  const arrived = recent.getRate(now) * BURST_WINDOW_MS;
  return Math.ceil(arrived * (isBurst(recent, usual, now) ? 2 : 1));
}

/** Starts at none; `windowMs` is how far it looks back. */
export function createOnlineDemand(windowMs: number): OnlineDemand {
  let rate = 0;
  let notedAt = 0;

  function updateRate(now: number) {
    rate *= Math.exp((notedAt - now) / windowMs);
    notedAt = now;
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
