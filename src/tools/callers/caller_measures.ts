/** Counts outcomes and latencies of callers' requests by client account. */
import {build, type Histogram} from 'hdr-histogram-js';
import type {RequestOutcome, RequestResult} from './online_request.js';

/** Longest time to first token that the histogram can record, in ms. */
const MAX_FIRST_TOKEN_MS = 120_000;

/** Counts and times of one phase. */
export interface CallerMeasures {
  /** `isWithinRate`: the account's ideal bucket would have granted the request. */
  record(account: string, result: RequestResult, isWithinRate: boolean): void;
  summarize(): CallerSummary;
}

/** The figures of a phase. Times in ms. */
export interface CallerSummary {
  sent: number;
  outcomes: Partial<Record<RequestOutcome, number>>;
  firstToken: {p50: number; p95: number; p99: number};
  /** Share of the sent requests that were answered, by account. */
  answeredShares: Record<string, number>;
  /** Refusals in excess of those that the account's ideal bucket gives, by account. */
  wrongfulRefusals: Record<string, number>;
  /** The lowest answered share of any account divided by the median share. */
  worstOverMedian: number;
  /** Number of refusals and failures, by their text. */
  details: Record<string, number>;
}

interface AccountCounts {
  sent: number;
  answered: number;
  refused: number;
  overRate: number;
}

const REFUSALS: ReadonlySet<RequestOutcome> = new Set(['limited', 'refused']);

const NO_COUNTS: AccountCounts = {
  sent: 0,
  answered: 0,
  refused: 0,
  overRate: 0,
};

/** Creates empty measures for one phase. */
export function createCallerMeasures(): CallerMeasures {
  const outcomes: Partial<Record<RequestOutcome, number>> = {};
  const accounts = new Map<string, AccountCounts>();
  const details: Record<string, number> = {};
  const firstToken: Histogram = build({
    highestTrackableValue: MAX_FIRST_TOKEN_MS * 1000,
    numberOfSignificantValueDigits: 3,
  });

  return {
    record(account, {outcome, firstTokenMs, detail}, isWithinRate) {
      outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
      const counts = accounts.get(account) ?? {...NO_COUNTS};
      accounts.set(account, counts);
      counts.sent++;
      if (REFUSALS.has(outcome)) counts.refused++;
      if (!isWithinRate) counts.overRate++;
      if (outcome === 'answered') counts.answered++;
      else details[detail] = (details[detail] ?? 0) + 1;
      if (firstTokenMs !== undefined) {
        firstToken.recordValue(Math.max(1, Math.round(firstTokenMs * 1000)));
      }
    },
    summarize() {
      const shares = [...accounts].map(
        ([account, {sent, answered}]) => [account, answered / sent] as const,
      );
      const sorted = shares.map(([, share]) => share).sort((a, b) => a - b);
      const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
      const getMs = (percentile: number) =>
        firstToken.getValueAtPercentile(percentile) / 1000;
      return {
        sent: [...accounts.values()].reduce((sum, {sent}) => sum + sent, 0),
        outcomes,
        firstToken: {p50: getMs(50), p95: getMs(95), p99: getMs(99)},
        answeredShares: Object.fromEntries(shares),
        wrongfulRefusals: Object.fromEntries(
          [...accounts].map(([account, {refused, overRate}]) => [
            account,
            Math.max(0, refused - overRate),
          ]),
        ),
        worstOverMedian: median > 0 ? sorted[0] / median : 0,
        details,
      };
    },
  };
}
