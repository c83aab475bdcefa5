/**
 * Decides how many requests an endpoint may get while it warms up.
 *
 * Load pattern: a failure domain, or all endpoints that were evacuated, come back
 * together and cold. They are idle, so each looks like the best choice, and a cold
 * endpoint that gets many requests within a second crashes. Then its requests fail, and
 * it comes back cold again.
 *
 * - All requests to a cold endpoint in any WARM_UP_WINDOW_MS stay below the rate that
 *   its service states. The window is longer than a second, since requests that were
 *   granted apart can arrive closer together. WARM_UP_SHARE leaves room for a second
 *   dispatcher, which for a moment grants as well during a takeover.
 * - A dispatcher that does not know an endpoint's last second assumes that another one
 *   has used it up.
 * - An endpoint that refused connections or fell silent may have started again. Its
 *   registration says so only later, so it counts as cold for a whole warm-up after the
 *   last such sign, and after its recovery from an ejection.
 */
import type {SchedulerOutcome} from './scheduler_types.js';

/** How endpoints of a service warm up. */
export interface WarmUp {
  /** Time from a start until an endpoint is warm, in ms. */
  durationMs: number;
  /** Requests per second that a cold endpoint tolerates. */
  requestsPerS: number;
}

/** Period in which the requests to a cold endpoint are counted, in ms. */
export const WARM_UP_WINDOW_MS = 1100;

/** Share of the tolerated rate that one dispatcher uses. */
export const WARM_UP_SHARE = 0.85;

/** Outcomes after which an endpoint may have started again. */
const RESTART_SIGNS: ReadonlySet<SchedulerOutcome['kind']> = new Set([
  'refused',
  'silent',
]);

/** The warm-up of one endpoint as its dispatcher sees it. Times are in ms. */
export interface WarmUpState {
  /** Records the time until which the endpoint is known to be cold. */
  noteColdUntil(until: number): void;
  /** Whether it is known to be cold, and slow for that reason. */
  isKnownCold(now: number): boolean;
  /** Records a request that was sent to the endpoint. */
  noteSent(now: number): void;
  /** Records an outcome, and whether it ended an ejection. */
  noteOutcome(
    kind: SchedulerOutcome['kind'],
    isRecovery: boolean,
    now: number,
  ): void;
  isCold(warmUp: WarmUp, now: number): boolean;
  /** Number of requests that it may get now; Infinity once it is warm. */
  countAllowed(warmUp: WarmUp, now: number): number;
}

/** Creates the state of an endpoint whose last requests are not known. */
export function createWarmUpState(createdAt: number): WarmUpState {
  let coldUntil = -Infinity;
  let restartSignAt = -Infinity;
  let sentAt: number[] = [];

  function isCold({durationMs}: WarmUp, now: number): boolean {
    return now < Math.max(coldUntil, restartSignAt + durationMs);
  }

  function countSent(now: number): number {
    sentAt = sentAt.filter(at => now - at < WARM_UP_WINDOW_MS);
    return sentAt.length;
  }

  return {
    noteColdUntil(until) {
      coldUntil = until;
    },
    isKnownCold: now => now < coldUntil,
    noteSent(now) {
      countSent(now);
      sentAt.push(now);
    },
    noteOutcome(kind, isRecovery, now) {
      if (isRecovery || RESTART_SIGNS.has(kind)) restartSignAt = now;
    },
    isCold,
    countAllowed(warmUp, now) {
      if (!isCold(warmUp, now)) return Infinity;
      if (now - createdAt < WARM_UP_WINDOW_MS) return 0;
      const allowed = Math.floor(warmUp.requestsPerS * WARM_UP_SHARE);
      return Math.max(0, allowed - countSent(now));
    },
  };
}
