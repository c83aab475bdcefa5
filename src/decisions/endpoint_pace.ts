/**
 * Estimates how long work takes on an endpoint now, from the paces that it
 * reports and from its times to first byte.
 *
 * Load pattern: endpoints of different speed, and machines that take 2.5 times
 * as long for half a second. The average of times to first byte follows neither:
 * it learns of a slow machine when its requests are already late, and avoids it
 * long after it has recovered.
 *
 * - A reported pace is certain only at the moment of the report. It decays
 *   towards the endpoint's long-term pace over the time in which the reports of
 *   the pool lose their correlation: of several decay times, the one whose
 *   predictions of later reports had the least error.
 * - The speed is the remaining factor of the endpoint, learned from times to
 *   first byte relative to the pool's prediction and the pace. A speed that was
 *   not confirmed returns to 1, so that an endpoint that became faster is tried
 *   again.
 * - Reports that times to first byte contradict are ignored for some seconds,
 *   longer with each repetition: those that are wrong by CONTRADICTED_RATIO, and
 *   those that predict worse than no pace would (pace_comparison.ts). Otherwise
 *   an endpoint that always reports a pace of 0.1 would attract every request.
 */
import {createPaceComparison} from './pace_comparison.js';
import type {PoolPaces} from './pool_paces.js';
import {
  CONTRADICTED_EXCESS_MS,
  CONTRADICTED_RATIO,
  IGNORE_REPORTS_MS,
  LONG_TERM_GAIN,
  MAX_CONTRADICTIONS,
  MAX_IGNORE_REPORTS_MS,
  MAX_MISSING_REPORTS,
  MAX_PACE,
  MIN_PACE,
  SPEED_GAIN,
  SPEED_HALF_LIFE_MS,
} from './scheduler_constants.js';

/** Weight of the usual pace of 1 in the long-term pace, in reports. */
const USUAL_REPORTS = 4;

/** Number of reports that may explain a time to first byte. */
const MAX_RECENT_REPORTS = 8;

/** A first byte, compared with the pool's prediction. */
export interface PacedFirstByte {
  firstByteMs: number;
  /** Predicted time on an endpoint of speed 1 and pace 1. */
  usualMs: number;
  grantedAt: number;
  /** Estimated pace when it was granted; absent if reports were ignored. */
  grantedPace?: number;
  /** Whether it waited behind no other prompt, so that the speed shows. */
  wasAlone: boolean;
}

/** Whether a report was used or ignored. */
export type ReportResult = 'used' | 'contradicted';

/** The pace and the speed of one endpoint. */
export interface EndpointPace {
  /** Whether the endpoint reports paces that may be used now. */
  isKnown(now: number): boolean;
  /** Whether it reported a pace, here or to the previous dispatcher. */
  hasReported(): boolean;
  noteReport(pace: number, now: number): ReportResult;
  /** Records a response without a pace. */
  noteMissing(): void;
  /** Records a first byte after the report of its response. */
  noteFirstByte(seen: PacedFirstByte, now: number): void;
  estimatePace(now: number): number;
  /** Returns the highest pace since shortly before `since`; at least 0. */
  findHighest(since: number): number;
  estimateSpeed(now: number): number;
  describe(now: number): object;
}

interface Report {
  pace: number;
  at: number;
}

/** Creates the pace of an endpoint that has reported none. */
export function createEndpointPace(
  address: string,
  pool: PoolPaces,
): EndpointPace {
  const entry = pool.addEndpoint(address);
  let reported: Report | undefined;
  /** The last reports, newest last. */
  let recent: Report[] = [];
  let longTerm = 1;
  let reports = 0;
  let missing = 0;
  let contradictions = 0;
  let ignoredUntil = -Infinity;
  let ignoreMs = IGNORE_REPORTS_MS;
  const comparison = createPaceComparison(pool.errors);

  function estimatePace(now: number): number {
    if (!reported) return longTerm;
    const weight = Math.exp((reported.at - now) / pool.getDecayMs());
    return longTerm + (reported.pace - longTerm) * weight;
  }

  function estimateSpeed(now: number): number {
    const speed = entry.speed;
    if (!speed) return 1;
    speed.at ??= now;
    return 1 + (speed.value - 1) * 2 ** ((speed.at - now) / SPEED_HALF_LIFE_MS);
  }

  function hasReported(): boolean {
    return reported !== undefined || entry.speed !== undefined;
  }

  function isIgnored(now: number): boolean {
    return now < ignoredUntil || comparison.isWorse();
  }

  function isKnown(now: number): boolean {
    return hasReported() && missing < MAX_MISSING_REPORTS && !isIgnored(now);
  }

  /** Lists the paces that may have applied to a request granted at `since`. */
  function listPaces(since: number): number[] {
    const reports = recent.filter(({at}) => at >= since - pool.getDecayMs());
    return reports.map(({pace}) => pace);
  }

  /** Counts first bytes that no pace since the request was sent explains. */
  function updateContradictions(
    {firstByteMs, usualMs, grantedAt}: PacedFirstByte,
    grantedPace: number,
    now: number,
  ) {
    const paces = [grantedPace, ...listPaces(grantedAt)];
    const speedMs = usualMs * estimateSpeed(now);
    const longestMs = speedMs * Math.max(...paces);
    const shortestMs = speedMs * Math.min(...paces);
    const isLate =
      firstByteMs > longestMs * CONTRADICTED_RATIO &&
      firstByteMs > longestMs + CONTRADICTED_EXCESS_MS;
    const isEarly =
      firstByteMs < shortestMs / CONTRADICTED_RATIO &&
      firstByteMs < shortestMs - CONTRADICTED_EXCESS_MS;
    const change = isLate || isEarly ? 1 : -1 / 2;
    contradictions = Math.max(0, contradictions + change);
    if (contradictions < MAX_CONTRADICTIONS) return;
    contradictions = 0;
    ignoredUntil = now + ignoreMs;
    ignoreMs = Math.min(MAX_IGNORE_REPORTS_MS, 2 * ignoreMs);
  }

  function updateSpeed(seen: PacedFirstByte, pace: number, now: number) {
    const ratio = seen.firstByteMs / (seen.usualMs * pace);
    const value = estimateSpeed(now);
    const observations = (entry.speed?.observations ?? 0) + 1;
    const gain = Math.max(SPEED_GAIN, 1 / (observations + 1));
    const bounded = Math.min(CONTRADICTED_RATIO * value, ratio);
    pool.setSpeed(address, {
      value: value + gain * (bounded - value),
      observations,
      at: now,
    });
  }

  return {
    isKnown,
    hasReported,
    noteReport(reportedPace, now) {
      const pace = Math.min(MAX_PACE, Math.max(MIN_PACE, reportedPace));
      missing = 0;
      if (reported) {
        const before = reported.pace - longTerm;
        const lagMs = now - reported.at;
        pool.noteReports({lagMs, before, after: pace - longTerm});
      }
      reports++;
      const gain = Math.max(LONG_TERM_GAIN, 1 / (reports + USUAL_REPORTS));
      longTerm += gain * (pace - longTerm);
      reported = {pace, at: now};
      recent = [...recent, reported].slice(-MAX_RECENT_REPORTS);
      return isIgnored(now) ? 'contradicted' : 'used';
    },
    noteMissing() {
      missing++;
    },
    noteFirstByte(seen, now) {
      if (!reported || missing > 0) return;
      const pace = estimatePace(now);
      comparison.note(seen.firstByteMs / seen.usualMs, pace);
      if (comparison.isWorse()) {
        ignoredUntil = Math.max(ignoredUntil, now + IGNORE_REPORTS_MS);
      }
      if (seen.grantedPace === undefined || !isKnown(now)) return;
      updateContradictions(seen, seen.grantedPace, now);
      if (seen.wasAlone) updateSpeed(seen, pace, now);
    },
    estimatePace,
    findHighest: since => Math.max(0, ...listPaces(since)),
    estimateSpeed,
    describe: now => ({
      pace: reported && estimatePace(now),
      paceAgeMs: reported && now - reported.at,
      speed: entry.speed && estimateSpeed(now),
      areReportsIgnored: isIgnored(now),
    }),
  };
}
