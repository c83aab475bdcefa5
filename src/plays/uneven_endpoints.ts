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
const LOAD_MS = 4 * WAVE.periodMs;
const DEADLINE_MS = 5000;
/** Without requests at the end, so that all of them have an outcome. */
const DURATION_MS = LOAD_MS + DEADLINE_MS + 500;
const ENDPOINTS = 21;
const ONLINE_PER_S = 96;
const SPEEDS = [0.6, 1, 1.6];
const NOISE = {share: 0.15, factor: 2.5, periodMs: 600};
/** Time within which the first event of an online response is due. */
const TARGET_MS = 305;

/** Finds how long work takes on an endpoint at a time. */
export type WorkFinder = (endpoint: number, now: number) => EndpointWork;

/** A third of the customer's pool, at the customer's rate per endpoint. */
function buildScenario(seed: number): Scenario {
  const events = [];
  // It starts with the trough, while the latency model has learned nothing.
  const troughMs = WAVE.periodMs - WAVE.peakMs;
  for (let atMs = 0; atMs < LOAD_MS; atMs += WAVE.periodMs) {
    const change = {kind: 'load', account: 'gate'};
    events.push({...change, atMs, load: WAVE.lowest * ONLINE_PER_S});
    const peak = WAVE.highest * ONLINE_PER_S;
    events.push({...change, atMs: atMs + troughMs, load: peak});
  }
  const quiet = {kind: 'load', account: 'gate', load: 0};
  events.push({...quiet, atMs: LOAD_MS});
  return scenarioSchema.parse({
    name: 'uneven endpoints',
    seed,
    durationMs: DURATION_MS,
    endpoints: ENDPOINTS,
    maxConcurrency: 8,
    engine: {stepBaseMs: 18, prefillPerTokenMs: 0.15},
    accounts: [
      {
        name: 'gate',
        rate: 1000,
        burst: 1000,
        load: WAVE.lowest * ONLINE_PER_S,
        deadlineMs: DEADLINE_MS,
        targetMs: TARGET_MS,
        sizes: {prompt: 400, answer: 19, spread: 0.2, shared: 128},
      },
    ],
    batch: [
      {
        account: 'planner',
        window: 30,
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
