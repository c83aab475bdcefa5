/**
 * Whether an endpoint gets new work: slow, failing and silent ones do not.
 *
 * Pattern of load: one endpoint of a dozen turns slow or goes silent. It still
 * has free slots, the more so the less it answers, and draws a twelfth or more
 * of all requests into time-outs.
 *
 * Slow: first bytes SLOW_RATIO times later than predicted, averaged over
 * several, so that one long prompt does not count. Failing: FAILURES_TO_EJECT
 * in a row without an answer between, or a share of MAX_FAILURE_SHARE by
 * failure_share.ts; a refusal counts in a row only, since it costs its request
 * nothing but another send. Silent: no sign of life while a first byte
 * is SILENT_FIRST_BYTES times its predicted time late (where first bytes are
 * reported), or no answer for SILENT_GAPS times
 * the gap expected from what runs there (chance of a healthy endpoint: e^-6),
 * or SILENCES_TO_EJECT time-outs; one alone may be one broken connection.
 * An ejected endpoint is probed by one request after a time that doubles, by a
 * batch item where there is one, since nobody waits for it.
 */
import {
  FAILURES_TO_EJECT,
  FIRST_PROBE_MS,
  LAST_PROBE_MS,
  SILENCES_TO_EJECT,
  SILENT_FIRST_BYTES,
  SILENT_GAPS,
  SILENT_SLACK_MS,
  SLOW_OBSERVATIONS,
  SLOW_RATIO,
  SLOWNESS_GAIN,
} from './scheduler_constants.js';
import {createFailureShare} from './failure_share.js';
import type {SchedulerOutcome} from './scheduler_types.js';

/** What an endpoint may be given. */
export type HealthState = 'healthy' | 'suspected' | 'ejected';

/** The health of one endpoint. */
export interface EndpointHealth {
  getState(): HealthState;
  /** How many times slower than predicted, averaged. */
  getSlowness(): number;
  /** Whether an ejected endpoint may be tried with one request now. */
  shouldProbe(now: number): boolean;
  noteProbe(now: number): void;
  /** A first byte came, `ratio` times as late as predicted. */
  noteFirstByte(ratio: number, now: number): void;
  /** A request ended there. */
  noteOutcome(kind: SchedulerOutcome['kind'], now: number): void;
  /** A first byte is overdue: `ageMs` since the request was sent. */
  checkFirstByte(ageMs: number, predictedMs: number, now: number): void;
  /** Looks for silence; `expectedGapMs` between answers by what runs there. */
  checkProgress(
    running: {since: number; expectedGapMs: number} | undefined,
    now: number,
  ): void;
}

/** Starts healthy. */
export function createEndpointHealth(hasFailureShares = true): EndpointHealth {
  let state: HealthState = 'healthy';
  let slowness = 1;
  let observations = 0;
  let failures = 0;
  let silences = 0;
  const share = createFailureShare();
  let lastAnswerAt = -Infinity;
  let probeAt = 0;
  let backoffMs = FIRST_PROBE_MS;
  let isProbed = false;

  function markEjected(now: number) {
    if (state === 'ejected' && !isProbed) return;
    if (isProbed) backoffMs = Math.min(LAST_PROBE_MS, backoffMs * 2);
    else if (hasFailureShares) backoffMs = share.computePause(now);
    else backoffMs = FIRST_PROBE_MS;
    state = 'ejected';
    isProbed = false;
    probeAt = now + backoffMs;
  }

  function markHealthy(now: number) {
    state = 'healthy';
    isProbed = false;
    observations = 0;
    share.noteReturn(now);
  }

  function noteRatio(ratio: number) {
    const gain = observations === 0 && isProbed ? 1 : SLOWNESS_GAIN;
    slowness += gain * (Math.min(ratio, 4 * SLOW_RATIO) - slowness);
    observations++;
  }

  function noteSign(now: number) {
    lastAnswerAt = now;
    silences = 0;
    if (state === 'suspected') state = 'healthy';
  }

  function noteFirstByte(ratio: number, now: number) {
    noteRatio(ratio);
    noteSign(now);
    const isSlow = slowness > SLOW_RATIO;
    if (state === 'healthy' && isSlow && observations >= SLOW_OBSERVATIONS) {
      markEjected(now);
    }
  }

  function noteAnswer(now: number) {
    failures = 0;
    share.note(false);
    noteSign(now);
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
    silent(now) {
      silences++;
      const isSilent = silences >= SILENCES_TO_EJECT || state === 'suspected';
      if (isProbed || isSilent) markEjected(now);
    },
    // Ended by this side: says nothing of the endpoint, but for a probe,
    // which must be sent again.
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
    getSlowness: () => slowness,
    shouldProbe: now => state === 'ejected' && !isProbed && now >= probeAt,
    noteProbe() {
      isProbed = true;
      observations = 0;
    },
    noteFirstByte,
    noteOutcome: (kind, now) => handlers[kind](now),
    checkFirstByte(ageMs, predictedMs, now) {
      const patience =
        SILENT_FIRST_BYTES * slowness * predictedMs + SILENT_SLACK_MS;
      const isSilent = ageMs > patience && now - lastAnswerAt > patience;
      if (state === 'healthy' && isSilent) state = 'suspected';
    },
    checkProgress(running, now) {
      // Nothing left there that could answer: only a probe can tell.
      if (state === 'suspected' && !running) markEjected(now);
      if (state !== 'healthy' || !running) return;
      const since = Math.max(lastAnswerAt, running.since);
      const patience = SILENT_GAPS * running.expectedGapMs + SILENT_SLACK_MS;
      if (now - since > patience) state = 'suspected';
    },
  };
}
