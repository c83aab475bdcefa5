/**
 * What this instance knows of the latency of pools that others dispatch, to be
 * passed on to a pool's next dispatcher.
 *
 * Each granted slot comes with the learned speed of its endpoint only, so that
 * the speeds of a pool of 64 endpoints need not be sent with every slot. They are
 * collected here, and the next dispatcher merges what all instances collected.
 */
import type {LatencySnapshot} from '../../decisions/latency_model.js';
import {MAX_POOL_ENDPOINTS} from './constants.js';

/** Latencies by pool. */
export interface KnownLatencies {
  note(pool: string, latency: LatencySnapshot): void;
  find(pool: string): LatencySnapshot | undefined;
}

/** Creates a collection without latencies. */
export function createKnownLatencies(): KnownLatencies {
  const latencies = new Map<string, LatencySnapshot>();

  return {
    note(pool, latency) {
      const merged = mergeLatencies([latency, latencies.get(pool)]);
      if (merged) latencies.set(pool, merged);
    },
    find: pool => latencies.get(pool),
  };
}

/**
 * Merges latencies: the first one, with the speeds of all. An earlier one takes
 * precedence, and only MAX_POOL_ENDPOINTS speeds are kept.
 */
export function mergeLatencies(
  latencies: readonly (LatencySnapshot | undefined)[],
): LatencySnapshot | undefined {
  const known = latencies.filter(latency => latency !== undefined);
  const [first] = known;
  if (!first) return undefined;
  const speeds = new Map<string, number>();
  for (const latency of known) {
    for (const [address, speed] of Object.entries(latency.speeds ?? {})) {
      if (speeds.size === MAX_POOL_ENDPOINTS) break;
      if (!speeds.has(address)) speeds.set(address, speed);
    }
  }
  if (speeds.size === 0) return first;
  return {...first, speeds: Object.fromEntries(speeds)};
}
