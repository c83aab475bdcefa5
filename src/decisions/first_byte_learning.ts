/**
 * Learns from the times to first byte of one endpoint: its health, its limit, its
 * speed, and the latency of the pool.
 *
 * Load pattern: endpoints whose pace changes several times a second. A first
 * byte that is late because the pace changed after the request was granted would
 * otherwise count as a sign of a sick or overloaded endpoint, which is then
 * ejected or gets a limit of 2 requests.
 *
 * Each time is compared with the prediction for the highest pace that the
 * endpoint reported since the request was granted. Where the endpoint reports no
 * pace, the prediction made when the request was granted is used.
 */
import type {ConcurrencyLimit} from './concurrency_limit.js';
import type {EndpointHealth} from './endpoint_health.js';
import type {EndpointPace} from './endpoint_pace.js';
import type {HeldSlot} from './held_slot.js';
import type {LatencyModel} from './latency_model.js';
import type {Mechanisms} from './mechanisms.js';

/** What is learned from an endpoint's times to first byte. */
export interface FirstByteLearningDependencies {
  latency: LatencyModel;
  mechanisms: Readonly<Mechanisms>;
  health: EndpointHealth;
  limit: ConcurrencyLimit;
  pace: EndpointPace;
}

/** Learns from first bytes, and predicts from what was learned. */
export interface FirstByteLearning {
  /**
   * Factor on the pool's prediction for an idle endpoint: speed and pace where
   * the endpoint reports its pace, and its slowness, at least 1, elsewhere.
   */
  estimateFactor(now: number): number;
  /** Estimated pace; undefined if it is unknown or its reports are ignored. */
  findPace(now: number): number | undefined;
  /**
   * Learns from a first byte, once for each slot. The cost of a prompt is
   * learned only from requests that did not wait behind other prefills.
   */
  note(slot: HeldSlot, firstByteMs: number, now: number): void;
}

/** Creates the learning of one endpoint. */
export function createFirstByteLearning({
  latency,
  mechanisms,
  health,
  limit,
  pace,
}: FirstByteLearningDependencies): FirstByteLearning {
  function findPace(now: number): number | undefined {
    if (!mechanisms.reportedPace || !pace.isKnown(now)) return undefined;
    return pace.estimatePace(now);
  }

  function estimateFactor(now: number): number {
    const known = findPace(now);
    if (known === undefined) return Math.max(1, health.getSlowness());
    return pace.estimateSpeed(now) * known;
  }

  /**
   * Predicts the first byte again. The speed is not part of what health expects,
   * so that an endpoint that is slow at its usual pace is still ejected.
   */
  function computeExpected(slot: HeldSlot, now: number) {
    const {predictedFirstByteMs: grantedMs, factor, grantedAt} = slot;
    if (slot.pace === undefined || findPace(now) === undefined) {
      return {expectedMs: grantedMs, healthyMs: grantedMs};
    }
    const highest = Math.max(slot.pace, pace.findHighest(grantedAt));
    const healthyMs = (grantedMs / factor) * highest;
    const speed = Math.max(1, pace.estimateSpeed(now));
    return {expectedMs: healthyMs * speed, healthyMs};
  }

  /**
   * Learns the speed, and returns the factor by which the endpoint differs from
   * the pool; 1 where it reports no pace.
   */
  function updatePace(
    slot: HeldSlot,
    firstByteMs: number,
    now: number,
  ): number {
    if (!mechanisms.reportedPace || !pace.hasReported()) return 1;
    const usualMs =
      (slot.predictedFirstByteMs / slot.factor) * latency.getPoolRatio();
    pace.noteFirstByte(
      {
        firstByteMs,
        usualMs,
        grantedAt: slot.grantedAt,
        grantedPace: slot.pace,
        wasAlone: slot.backlogMs === 0,
      },
      now,
    );
    const known = findPace(now);
    if (known === undefined) return 1;
    // Relative to the mean of all endpoints, also those that got no request.
    // Otherwise the pool's line would follow the endpoints that are chosen most.
    const meanSpeed = latency.paces.computeMeanSpeed();
    return (pace.estimateSpeed(now) / meanSpeed) * known;
  }

  return {
    estimateFactor,
    findPace,
    note(slot, firstByteMs, now) {
      if (slot.hasFirstByte || !Number.isFinite(slot.predictedFirstByteMs))
        return;
      slot.hasFirstByte = true;
      if (slot.wasCold) return;
      const {running, uncachedTokens, backlogMs} = slot;
      const {expectedMs, healthyMs} = computeExpected(slot, now);
      // If predictions are too low in the whole pool, the cause is not this
      // endpoint.
      const poolRatio = latency.getPoolRatio();
      const predictedMs = expectedMs * poolRatio;
      limit.noteFirstByte({firstByteMs, predictedMs, running}, now);
      health.noteFirstByte(firstByteMs / (healthyMs * poolRatio), now);
      const usualFactor = updatePace(slot, firstByteMs, now);
      latency.noteRatio(firstByteMs / expectedMs);
      if (backlogMs === 0 && health.getState() === 'healthy') {
        latency.noteFirstByte(uncachedTokens, firstByteMs / usualFactor);
      }
    },
  };
}
