/** What callers got, counted by client account. */
import {build, type Histogram} from 'hdr-histogram-js';
import type {QuestionOutcome, QuestionResult} from './question.js';

/** Highest time to first token that is told apart, in ms. */
const HIGHEST_MS = 120_000;

/** Counts and times of one phase. */
export interface CallerMeasures {
  /** `isInside`: the account's ideal bucket would have granted it. */
  record(account: string, result: QuestionResult, isInside: boolean): void;
  summarize(): CallerSummary;
}

/** The figures of a phase. Times in ms. */
export interface CallerSummary {
  sent: number;
  outcomes: Partial<Record<QuestionOutcome, number>>;
  firstToken: {p50: number; p95: number; p99: number};
  /** Answered share of what was sent, by account. */
  answeredShares: Record<string, number>;
  /** Refusals beyond those that ideal buckets would have given. */
  wrongfulRefusals: Record<string, number>;
  /** Worst account's answered share over the median account's. */
  worstOverMedian: number;
  /** How often each refusal and failure came, by what it said. */
  details: Record<string, number>;
}

interface AccountCounts {
  sent: number;
  answered: number;
  refused: number;
  outside: number;
}

const REFUSALS: ReadonlySet<QuestionOutcome> = new Set(['limited', 'refused']);

const NO_COUNTS: AccountCounts = {sent: 0, answered: 0, refused: 0, outside: 0};

/** Starts at zero. */
export function createCallerMeasures(): CallerMeasures {
  const outcomes: Partial<Record<QuestionOutcome, number>> = {};
  const accounts = new Map<string, AccountCounts>();
  const details: Record<string, number> = {};
  const firstToken: Histogram = build({
    highestTrackableValue: HIGHEST_MS * 1000,
    numberOfSignificantValueDigits: 3,
  });

  return {
    record(account, {outcome, firstTokenMs, detail}, isInside) {
      outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
      const counts = accounts.get(account) ?? {...NO_COUNTS};
      accounts.set(account, counts);
      counts.sent++;
      if (REFUSALS.has(outcome)) counts.refused++;
      if (!isInside) counts.outside++;
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
          [...accounts].map(([account, {refused, outside}]) => [
            account,
            Math.max(0, refused - outside),
          ]),
        ),
        worstOverMedian: median > 0 ? sorted[0] / median : 0,
        details,
      };
    },
  };
}
