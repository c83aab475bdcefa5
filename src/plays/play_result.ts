/** What callers got in a play. */
import {build, type Histogram} from 'hdr-histogram-js';
import type {RefusalReason} from '../decisions/scheduler_types.js';
import type {Play} from './play_schema.js';
import type {PlayRequest} from './traffic.js';

/** First tokens later than this count as late: the users' 95 in 100 aim. */
export const FIRST_TOKEN_AIM_MS = 370;
/** Histograms hold microseconds, for their relative precision at 1 ms. */
const MICROSECONDS = 1000;
const SERIES_STEP_MS = 500;

/** What one client account got. */
export interface AccountResult {
  /** Requests inside the account's rate, and beyond it. */
  inside: number;
  beyond: number;
  /** Of those inside: answered whole before the deadline. */
  answered: number;
  /** Of those inside: first token within the aim. */
  prompt: number;
  late: number;
  failed: number;
  firstToken: Histogram;
}

/** One half second of a play, for plots. */
export interface SeriesPoint {
  atMs: number;
  online: number;
  batch: number;
  firstTokenMs: number;
}

/** Everything counted in one play. */
export interface PlayResult {
  play: Play;
  accounts: Map<string, AccountResult>;
  firstToken: Histogram;
  firstTokenOfBurst: Histogram;
  /** How long batch work held a burst's requests up. */
  heldOfBurst: Histogram;
  refused: Map<RefusalReason | 'rate', number>;
  /** Refused although inside the rate, for any reason. */
  wrongful: number;
  /** Time between an online request's submission and its refusal, largest. */
  slowestRefusalMs: number;
  batch: {
    completed: number;
    yielded: number;
    /** Tokens of answers thrown away by yielding. */
    wastedTokens: number;
    failed: number;
    /** When the last item of the last finite job was done. */
    doneAt: number | undefined;
  };
  series: SeriesPoint[];
  /** Steps and prefill of all engines. */
  engines: {busyMs: number; prefilledTokens: number};
  /** Answer tokens of online requests that ran, for the idle bound. */
  onlineTokens: number;
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 600_000_000,
    numberOfSignificantValueDigits: 3,
  });
}

/** Nothing counted yet. */
export function createPlayResult(play: Play): PlayResult {
  return {
    play,
    accounts: new Map(
      play.accounts.map(({name}) => [
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
    heldOfBurst: createHistogram(),
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

/** A percentile of a histogram of this file, in ms. */
export function readPercentile(histogram: Histogram, percentile: number) {
  return histogram.getValueAtPercentile(percentile) / MICROSECONDS;
}

/** Adds `ms` to a histogram of this file. */
export function recordMs(histogram: Histogram, ms: number) {
  histogram.recordValue(Math.max(1, Math.round(ms * MICROSECONDS)));
}

/** Counts a first token in every histogram it belongs to. */
export function recordFirstToken(
  result: PlayResult,
  request: PlayRequest,
  firstTokenMs: number,
  heldMs: number,
) {
  recordMs(result.firstToken, firstTokenMs);
  const account = result.accounts.get(request.account)!;
  recordMs(account.firstToken, firstTokenMs);
  if (firstTokenMs <= FIRST_TOKEN_AIM_MS) account.prompt++;
  if (request.isBurst) {
    recordMs(result.firstTokenOfBurst, firstTokenMs);
    recordMs(result.heldOfBurst, heldMs);
  }
  const point = getPoint(result, request.arrivedAt);
  point.online++;
  point.firstTokenMs = Math.max(point.firstTokenMs, firstTokenMs);
}

/** The point of the series that `at` falls into. */
export function getPoint(result: PlayResult, at: number): SeriesPoint {
  const index = Math.floor(at / SERIES_STEP_MS);
  while (result.series.length <= index) {
    const atMs = result.series.length * SERIES_STEP_MS;
    result.series.push({atMs, online: 0, batch: 0, firstTokenMs: 0});
  }
  return result.series[index];
}
