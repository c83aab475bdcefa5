/**
 * Estimates the work that another dispatcher has sent to an endpoint.
 *
 * Load pattern: during a takeover and in fallback dispatch, several instances
 * send to the same endpoints, and each sees only its own work. An endpoint that
 * reports more waiting requests than this dispatcher has there is busier than it
 * looks.
 *
 * Each such request counts as the prefill of a typical prompt. The count loses
 * weight with its age, over the time in which reports lose their correlation.
 */
import {TYPICAL_PROMPT_TOKENS, type LatencyModel} from './latency_model.js';

/** Work on one endpoint that this dispatcher has not sent. */
export interface ForeignWork {
  /** Records how many requests wait there, beyond those of this dispatcher. */
  noteWaiting(count: number, now: number): void;
  /** Estimated time until it is done, in ms. */
  estimateBacklog(now: number): number;
}

/** Creates an estimate without foreign work. */
export function createForeignWork(latency: LatencyModel): ForeignWork {
  let waiting = 0;
  let reportedAt = 0;

  return {
    noteWaiting(count, now) {
      waiting = count;
      reportedAt = now;
    },
    estimateBacklog(now) {
      if (waiting === 0) return 0;
      const ageMs = now - reportedAt;
      const weight = Math.exp(-ageMs / latency.paces.getDecayMs());
      if (waiting * weight < NEGLIGIBLE_REQUESTS) return 0;
      return waiting * weight * latency.estimatePrefill(TYPICAL_PROMPT_TOKENS);
    },
  };
}

/** Below this number, foreign work no longer keeps items from an endpoint. */
const NEGLIGIBLE_REQUESTS = 0.1;
