/**
 * What the endpoints of a pool have in common in their paces: the time in which
 * reports lose their correlation, and the learned speeds.
 *
 * Load pattern: paces that change every few hundred ms, at a rate that differs
 * between deployments. With a fixed time, reports are either trusted when they
 * are out of date or discarded while they still hold.
 *
 * For each of PACE_DECAYS_MS, the error of its predictions of each report from
 * the one before is summed with decaying weights. The time with the least error
 * applies.
 */
import {createPaceErrors, type PaceErrors} from './pace_comparison.js';
import {
  MAX_SPEED,
  MIN_SPEED,
  PACE_DECAYS_MS,
  PACE_ERROR_DECAY,
  POOL_COMPARISON_GAIN,
} from './scheduler_constants.js';

/** The learned speed of an endpoint; 0.5 takes half the usual time. */
export interface LearnedSpeed {
  value: number;
  /** Number of first bytes from which it was learned. */
  observations: number;
  /** Time of the last first byte; absent until an imported speed is used. */
  at?: number;
}

/** The speed of one endpoint of the pool; absent until it is learned. */
export interface SpeedEntry {
  speed?: LearnedSpeed;
}

/** Speeds by address, as handed to the next dispatcher. */
export type SpeedSnapshot = Record<string, number>;

/** Two consecutive reports, as deviations from the endpoint's long-term pace. */
export interface ReportPair {
  lagMs: number;
  before: number;
  after: number;
}

/** Shared values of the endpoints of one pool. Times are in ms. */
export interface PoolPaces {
  /** Errors of predictions with and without the paces, over all endpoints. */
  errors: PaceErrors;
  /** Time in which a pace loses its correlation. */
  getDecayMs(): number;
  noteReports(pair: ReportPair): void;
  /** Adds an endpoint, whose speed may be set from now on. */
  addEndpoint(address: string): Readonly<SpeedEntry>;
  removeEndpoint(address: string): void;
  setSpeed(address: string, speed: LearnedSpeed): void;
  /** Mean of the learned speeds; 1 if there is none. */
  computeMeanSpeed(): number;
  /** Undefined if no speed was learned; with `address`, only its speed. */
  exportSpeeds(address?: string): SpeedSnapshot | undefined;
  /** Takes the speeds of endpoints that the pool has. */
  importSpeeds(speeds: SpeedSnapshot): void;
}

/** Creates the values of a pool without endpoints. */
export function createPoolPaces(): PoolPaces {
  const entries = new Map<string, SpeedEntry>();
  const decayErrors: number[] = PACE_DECAYS_MS.map((_, index) =>
    index === 0 ? 0 : 1,
  );
  let decayMs = PACE_DECAYS_MS[0];

  function setSpeed(address: string, speed: LearnedSpeed) {
    const entry = entries.get(address);
    if (!entry || !Number.isFinite(speed.value)) return;
    const value = Math.min(MAX_SPEED, Math.max(MIN_SPEED, speed.value));
    entry.speed = {...speed, value};
  }

  return {
    errors: createPaceErrors(POOL_COMPARISON_GAIN),
    getDecayMs: () => decayMs,
    noteReports({lagMs, before, after}) {
      PACE_DECAYS_MS.forEach((candidate, index) => {
        const error = after - before * Math.exp(-lagMs / candidate);
        decayErrors[index] =
          decayErrors[index] * PACE_ERROR_DECAY + error * error;
      });
      decayMs = PACE_DECAYS_MS[decayErrors.indexOf(Math.min(...decayErrors))];
    },
    addEndpoint(address) {
      const entry = entries.get(address) ?? {};
      entries.set(address, entry);
      return entry;
    },
    removeEndpoint(address) {
      entries.delete(address);
    },
    setSpeed,
    computeMeanSpeed() {
      let sum = 0;
      let count = 0;
      for (const {speed} of entries.values()) {
        if (!speed) continue;
        sum += speed.value;
        count++;
      }
      return count === 0 ? 1 : sum / count;
    },
    exportSpeeds(address) {
      const exported: SpeedSnapshot = {};
      for (const [each, {speed}] of entries) {
        if (!speed || (address !== undefined && each !== address)) continue;
        exported[each] = Number(speed.value.toFixed(3));
      }
      return Object.keys(exported).length > 0 ? exported : undefined;
    },
    importSpeeds(imported) {
      for (const [address, value] of Object.entries(imported)) {
        setSpeed(address, {value, observations: IMPORTED_OBSERVATIONS});
      }
    },
  };
}

/** Weight of an imported speed against first bytes on this dispatcher. */
const IMPORTED_OBSERVATIONS = 5;
