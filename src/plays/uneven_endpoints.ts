/**
 * Load and endpoints of the tests of uneven endpoints: accounts whose rate
 * follows a wave, batch items beside them, and endpoints of different speed whose
 * pace changes while they run.
 */
import murmurhash from 'murmurhash';
import {createPoolScheduler} from '../decisions/pool_scheduler.js';
import {ALL_MECHANISMS} from '../decisions/mechanisms.js';
import {scenarioSchema, type Scenario} from './scenario_schema.js';
import {runSimulation, type EndpointWork} from './simulation.js';

const WAVE = {lowest: 0.38, highest: 1.87, periodMs: 5800, peakMs: 2400};
const DURATION_MS = 4 * WAVE.periodMs;
/** No request arrives in this time at the end, so that all have an outcome. */
const QUIET_END_MS = 1500;
const ENDPOINTS = 21;
const ONLINE_PER_S = 96;
const SPEEDS = [0.6, 1, 1.6];
const NOISE = {share: 0.15, factor: 2.5, periodMs: 600};
/** Time within which the first event of an online response is due. */
export const TARGET_MS = 305;

/** Finds how long work takes on an endpoint at a time. */
export type WorkFinder = (endpoint: number, now: number) => EndpointWork;

/** A third of the customer's pool, at the customer's rate per endpoint. */
function buildScenario(seed: number): Scenario {
  const events = [];
  for (let atMs = 0; atMs < DURATION_MS; atMs += WAVE.periodMs) {
    const peak = {kind: 'load', account: 'gate', load: WAVE.highest};
    const trough = {kind: 'load', account: 'gate', load: WAVE.lowest};
    events.push({...peak, atMs, load: peak.load * ONLINE_PER_S});
    const endsAt = atMs + WAVE.peakMs;
    events.push({...trough, atMs: endsAt, load: trough.load * ONLINE_PER_S});
  }
  const quiet = {kind: 'load', account: 'gate', load: 0};
  events.push({...quiet, atMs: DURATION_MS - QUIET_END_MS});
  return scenarioSchema.parse({
    name: 'uneven endpoints',
    seed,
    durationMs: DURATION_MS,
    endpoints: ENDPOINTS,
    maxConcurrency: 8,
    engine: {stepBaseMs: 18, prefillPerTokenMs: 0.2},
    accounts: [
      {
        name: 'gate',
        rate: 1000,
        burst: 1000,
        load: ONLINE_PER_S,
        deadlineMs: 5000,
        targetMs: TARGET_MS,
        sizes: {prompt: 400, answer: 19, spread: 0.2, shared: 128},
      },
    ],
    batch: [
      {
        account: 'planner',
        window: 40,
        sizes: {prompt: 400, answer: 129, spread: 0.2, shared: 128},
      },
    ],
    events,
  });
}

/** Speeds of 0.6, 1 and 1.6. */
export function findSpeed(endpoint: number): number {
  return SPEEDS[endpoint % SPEEDS.length];
}

/** 2.5 for 15% of the endpoints at a time, drawn anew every 600 ms. */
export function findNoise(endpoint: number, now: number): number {
  const shifted = now + (endpoint * NOISE.periodMs) / ENDPOINTS;
  const period = Math.floor(shifted / NOISE.periodMs);
  const drawn = murmurhash.v3(`${endpoint}/${period}`) / 2 ** 32;
  return drawn < NOISE.share ? NOISE.factor : 1;
}

/** What one simulation, or several together, gave. */
export interface UnevenResult {
  requests: number;
  /** Requests that had no first event within the target. */
  late: number;
  items: number;
}

/** Simulates with several seeds, with or without the reported paces. */
export function simulateUneven(
  findWork: WorkFinder,
  usesPace: boolean,
  seeds = 3,
): UnevenResult {
  const sum: UnevenResult = {requests: 0, late: 0, items: 0};
  const mechanisms = {...ALL_MECHANISMS, reportedPace: usesPace};
  for (let seed = 1; seed <= seeds; seed++) {
    const {accounts, batch} = runSimulation(buildScenario(seed), {
      createScheduler: limits => createPoolScheduler(limits, mechanisms),
      findWork,
    });
    const {inside, prompt} = accounts.get('gate')!;
    sum.requests += inside;
    sum.late += inside - prompt;
    sum.items += batch.completed;
  }
  return sum;
}
