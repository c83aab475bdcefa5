/**
 * Decides whether an endpoint gets new work. Slow, failing and silent endpoints
 * do not.
 *
 * Load pattern: one endpoint of a dozen becomes slow or silent. The fewer
 * requests it answers, the more free slots it seems to have, so it attracts a
 * twelfth or more of all requests, which then time out.
 *
 * - Slow: its first bytes are SLOW_RATIO times later than predicted. This is an
 *   average over several requests, so that one long prompt does not count.
 * - Failing: FAILURES_TO_EJECT consecutive failures, or a share of failures
 *   above MAX_FAILURE_SHARE (failure_share.ts). Refusals count only as
 *   consecutive failures, since a refusal costs its request only another send.
 * - Silent: no response at all while a first byte is overdue by
 *   SILENT_FIRST_BYTES times its predicted time (where first bytes are
 *   reported), or no answer for SILENT_GAPS times the gap expected from its
 *   running requests (probability on a healthy endpoint: e^-6), or
 *   SILENCES_TO_EJECT timeouts. A single timeout may be caused by one broken
 *   connection.
 *
 * - Unreachable: it refused a connection, so that no process listens there. It gets no
 *   work for UNREACHABLE_MS, however many other endpoints are in the same state.
 *
 * An ejected endpoint is probed with one request after a delay that doubles
 * each time. The probe is a batch item if there is one, since no caller waits
 * for it.
 */
import {
  FAILURES_TO_EJECT,
  FIRST_PROBE_DELAY_MS,
  MAX_PROBE_DELAY_MS,
  SILENCES_TO_EJECT,
  SILENT_FIRST_BYTES,
  SILENT_GAPS,
  SILENT_SLACK_MS,
  SLOW_OBSERVATIONS,
  SLOW_RATIO,
  SLOWNESS_GAIN,
  UNREACHABLE_MS,
} from './scheduler_constants.js';
import {createFailureShare} from './failure_share.js';
import type {SchedulerOutcome} from './scheduler_types.js';

/** Only healthy endpoints get work; ejected ones get probes. */
export type HealthState = 'healthy' | 'suspected' | 'ejected';

/** The health of one endpoint. */
export interface EndpointHealth {
  getState(): HealthState;
  /** Whether it refused a connection lately. */
  isUnreachable(now: number): boolean;
  /** Average ratio of actual to predicted first-byte time. */
  getSlowness(): number;
  /** Whether an ejected endpoint may be probed with one request now. */
  shouldProbe(now: number): boolean;
  noteProbe(now: number): void;
  /** Records a first byte that took `ratio` times its predicted time. */
  noteFirstByte(ratio: number, now: number): void;
  /** Records the outcome of a request on this endpoint. */
  noteOutcome(kind: SchedulerOutcome['kind'], now: number): void;
  /** Checks an overdue first byte; `ageMs` is the time since sending. */
  checkFirstByte(ageMs: number, predictedMs: number, now: number): void;
  /**
   * Checks for silence. `expectedGapMs` is the gap between answers expected
   * from the running requests; `running` is undefined if there are none.
   */
  checkProgress(
    running: {since: number; expectedGapMs: number} | undefined,
    now: number,
  ): void;
}

/** Creates the health of an endpoint, initially healthy. */
export function createEndpointHealth(hasFailureShares = true): EndpointHealth {
  let state: HealthState = 'healthy';
  let slowness = 1;
  let observations = 0;
  let failures = 0;
  let silences = 0;
  const share = createFailureShare();
  let lastAnswerAt = -Infinity;
  let probeAt = 0;
  let backoffMs = FIRST_PROBE_DELAY_MS;
  let isProbed = false;
  let unreachableUntil = -Infinity;

  function markEjected(now: number) {
    if (state === 'ejected' && !isProbed) return;
    if (isProbed) backoffMs = Math.min(MAX_PROBE_DELAY_MS, backoffMs * 2);
    else if (hasFailureShares) backoffMs = share.computePause(now);
    else backoffMs = FIRST_PROBE_DELAY_MS;
    state = 'ejected';
    isProbed = false;
    probeAt = now + backoffMs;
  }

  function markHealthy(now: number) {
    state = 'healthy';
    isProbed = false;
    observations = 0;
    share.noteRecovery(now);
  }

  function noteRatio(ratio: number) {
    const gain = observations === 0 && isProbed ? 1 : SLOWNESS_GAIN;
    slowness += gain * (Math.min(ratio, 4 * SLOW_RATIO) - slowness);
    observations++;
  }

  function noteSignOfLife(now: number) {
    lastAnswerAt = now;
    unreachableUntil = -Infinity;
    silences = 0;
    if (state === 'suspected') state = 'healthy';
  }

  function noteFirstByte(ratio: number, now: number) {
    noteRatio(ratio);
    noteSignOfLife(now);
    const isSlow = slowness > SLOW_RATIO;
    if (state === 'healthy' && isSlow && observations >= SLOW_OBSERVATIONS) {
      markEjected(now);
    }
  }

  function noteAnswer(now: number) {
    failures = 0;
    share.note(false);
    noteSignOfLife(now);
    if (!isProbed) return;
    if (slowness > SLOW_RATIO) markEjected(now);
    else markHealthy(now);
  }

  function noteFailure(now: number) {
    failures++;
    const isFailing =
      failures >= FAILURES_TO_EJECT || (hasFailureShares && share.isTooLarge());
    if (isProbed || isFailing) markEjected(now);
  }

  const handlers: Record<SchedulerOutcome['kind'], (now: number) => void> = {
    answered: noteAnswer,
    failed(now) {
      share.note(true);
      noteFailure(now);
    },
    refused: noteFailure,
    // Not counted as a failure: the next process at its address starts healthy.
    unreachable(now) {
      unreachableUntil = now + UNREACHABLE_MS;
      if (isProbed) markEjected(now);
    },
    silent(now) {
      silences++;
      const isSilent = silences >= SILENCES_TO_EJECT || state === 'suspected';
      if (isProbed || isSilent) markEjected(now);
    },
    // Ended by this side, so it says nothing about the endpoint. If it was the
    // probe, another one must be sent.
    cancelled(now) {
      if (isProbed) probeAt = now;
      isProbed = false;
    },
    yielded(now) {
      if (isProbed) probeAt = now;
      isProbed = false;
    },
  };

  return {
    getState: () => state,
    isUnreachable: now => now < unreachableUntil,
    getSlowness: () => slowness,
    shouldProbe: now => state === 'ejected' && !isProbed && now >= probeAt,
    noteProbe() {
      isProbed = true;
      observations = 0;
    },
    noteFirstByte,
    noteOutcome: (kind, now) => handlers[kind](now),
    checkFirstByte(ageMs, predictedMs, now) {
      const timeoutMs =
        SILENT_FIRST_BYTES * slowness * predictedMs + SILENT_SLACK_MS;
      const isSilent = ageMs > timeoutMs && now - lastAnswerAt > timeoutMs;
      if (state === 'healthy' && isSilent) state = 'suspected';
    },
    checkProgress(running, now) {
      // No request is left that could answer, so only a probe can tell.
      if (state === 'suspected' && !running) markEjected(now);
      if (state !== 'healthy' || !running) return;
      const since = Math.max(lastAnswerAt, running.since);
      const timeoutMs = SILENT_GAPS * running.expectedGapMs + SILENT_SLACK_MS;
      if (now - since > timeoutMs) state = 'suspected';
    },
  };
}
