/** The result of a simulation: what callers received. */
import {build, type Histogram} from 'hdr-histogram-js';
import type {RefusalReason} from '../decisions/scheduler_types.js';
import type {Scenario} from './scenario_schema.js';
import type {SimulatedRequest} from './traffic.js';

/** Target for the first token; the users' aim is 95 in 100 within it. */
export const FIRST_TOKEN_TARGET_MS = 370;
/** Histograms store microseconds, to be precise at values around 1 ms. */
const MICROSECONDS_PER_MS = 1000;
const SERIES_INTERVAL_MS = 500;

/** The results of one client account. */
export interface AccountResult {
  /** Number of requests inside the account's rate, and beyond it. */
  inside: number;
  beyond: number;
  /** Of those inside: completely answered before the deadline. */
  answered: number;
  /** Of those inside: first token within the target time. */
  prompt: number;
  late: number;
  failed: number;
  firstToken: Histogram;
}

/** Figures of 500 ms of a simulation, for plots. */
export interface SeriesPoint {
  atMs: number;
  online: number;
  batch: number;
  firstTokenMs: number;
}

/** All figures of one simulation. */
export interface SimulationResult {
  scenario: Scenario;
  accounts: Map<string, AccountResult>;
  firstToken: Histogram;
  firstTokenOfBurst: Histogram;
  /** Time for which batch work delayed the requests of a burst. */
  batchDelayOfBurst: Histogram;
  refused: Map<RefusalReason | 'rate', number>;
  /** Number refused although inside the rate, for any reason. */
  wrongful: number;
  /** Longest time from the submission of an online request to its refusal. */
  slowestRefusalMs: number;
  batch: {
    completed: number;
    yielded: number;
    /** Answer tokens discarded by yielding. */
    wastedTokens: number;
    failed: number;
    /** When the last item of the last finite job completed. */
    doneAt: number | undefined;
  };
  series: SeriesPoint[];
  /** Step time and prefilled tokens of all engines. */
  engines: {busyMs: number; prefilledTokens: number};
  /** Answer tokens of online requests that ran; needed for the batch bound. */
  onlineTokens: number;
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 600_000_000,
    numberOfSignificantValueDigits: 3,
  });
}

/** Creates a result in which every figure is 0. */
export function createSimulationResult(scenario: Scenario): SimulationResult {
  return {
    scenario,
    accounts: new Map(
      scenario.accounts.map(({name}) => [
        name,
        {
          inside: 0,
          beyond: 0,
          answered: 0,
          prompt: 0,
          late: 0,
          failed: 0,
          firstToken: createHistogram(),
        },
      ]),
    ),
    firstToken: createHistogram(),
    firstTokenOfBurst: createHistogram(),
    batchDelayOfBurst: createHistogram(),
    refused: new Map(),
    wrongful: 0,
    slowestRefusalMs: 0,
    batch: {
      completed: 0,
      yielded: 0,
      wastedTokens: 0,
      failed: 0,
      doneAt: undefined,
    },
    series: [],
    engines: {busyMs: 0, prefilledTokens: 0},
    onlineTokens: 0,
  };
}

/** Reads a percentile, in ms, of a histogram that this module created. */
export function readPercentile(histogram: Histogram, percentile: number) {
  return histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
}

/** Adds `ms` to a histogram that this module created. */
export function recordMs(histogram: Histogram, ms: number) {
  histogram.recordValue(Math.max(1, Math.round(ms * MICROSECONDS_PER_MS)));
}

/** Records a first token in every histogram that it belongs to. */
export function recordFirstToken(
  result: SimulationResult,
  request: SimulatedRequest,
  firstTokenMs: number,
  batchDelayMs: number,
) {
  recordMs(result.firstToken, firstTokenMs);
  const account = result.accounts.get(request.account)!;
  recordMs(account.firstToken, firstTokenMs);
  const {targetAt, arrivedAt} = request;
  const targetMs =
    targetAt === undefined ? FIRST_TOKEN_TARGET_MS : targetAt - arrivedAt;
  if (firstTokenMs <= targetMs) account.prompt++;
  if (request.isBurst) {
    recordMs(result.firstTokenOfBurst, firstTokenMs);
    recordMs(result.batchDelayOfBurst, batchDelayMs);
  }
  const point = getPoint(result, request.arrivedAt);
  point.online++;
  point.firstTokenMs = Math.max(point.firstTokenMs, firstTokenMs);
}

/** Returns the point of the series for the time `at`. */
export function getPoint(result: SimulationResult, at: number): SeriesPoint {
  const index = Math.floor(at / SERIES_INTERVAL_MS);
  while (result.series.length <= index) {
    const atMs = result.series.length * SERIES_INTERVAL_MS;
    result.series.push({atMs, online: 0, batch: 0, firstTokenMs: 0});
  }
  return result.series[index];
}
