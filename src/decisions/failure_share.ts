/**
 * The share of its requests that one endpoint fails.
 *
 * Pattern of load: one endpoint of a dozen or more fails half of its requests
 * while its health probe, and the other half, are good. Failures in a row come
 * seldom (three in a row once in eighteen requests at 45 %), and one good answer
 * to a probe brings it back: it goes on drawing its part of the work, and half
 * of that is lost where a request may run once only.
 *
 * The share is an average over some 1 / FAILURE_GAIN requests. Three failures
 * among eight requests exceed MAX_FAILURE_SHARE; an endpoint that loses one
 * answer in twenty does so once in 390 requests (a million drawn), and is then
 * out for a second. One that comes back keeps RETURN_SHARE, so that its next
 * failure ejects it again, and stays out twice as long each time that it lasted
 * less than RELAPSE_MS.
 *
 * Bought, measured by this module's test: one endpoint of ten that fails 45 % of
 * its requests for 6.5 s spoils 7.2 of 372 requests, and 12.5 by failures in a
 * row alone (means of 40 seeds).
 */
import {FIRST_PROBE_MS} from './scheduler_constants.js';

/** Weight of one outcome. */
export const FAILURE_GAIN = 0.12;

/** Share of failures above which an endpoint gets no new work. */
export const MAX_FAILURE_SHARE = 0.25;

/** Share that one starts with again when a probe brings it back. */
export const RETURN_SHARE = 0.16;

/** Ejected again within this, in ms, it relapsed: its trouble is not over. */
export const RELAPSE_MS = 3000;

/**
 * Longest pause by relapses alone, in ms: a sound endpoint that is out for
 * longer would cost more than what a failing one still spoils.
 */
export const LAST_RELAPSE_PAUSE_MS = 4000;

/** The share of one endpoint. */
export interface FailureShare {
  note(hasFailed: boolean): void;
  isTooLarge(): boolean;
  /** A probe was answered, and it gets work again. */
  noteReturn(now: number): void;
  /** How long it stays out when it is ejected now, in ms. */
  computePause(now: number): number;
}

/** Starts without failures. */
export function createFailureShare(): FailureShare {
  let share = 0;
  let returnedAt = -Infinity;
  let pauseMs = FIRST_PROBE_MS;

  return {
    note(hasFailed) {
      share += FAILURE_GAIN * (Number(hasFailed) - share);
    },
    isTooLarge: () => share > MAX_FAILURE_SHARE,
    noteReturn(now) {
      share = Math.min(share, RETURN_SHARE);
      returnedAt = now;
    },
    computePause(now) {
      const hasRelapsed = now - returnedAt < RELAPSE_MS;
      pauseMs = hasRelapsed
        ? Math.min(LAST_RELAPSE_PAUSE_MS, pauseMs * 2)
        : FIRST_PROBE_MS;
      return pauseMs;
    },
  };
}
