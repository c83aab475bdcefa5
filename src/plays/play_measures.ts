/** The figures that expectations and reports speak of, by name. */
import {
  readPercentile,
  type AccountResult,
  type PlayResult,
} from './play_result.js';

/** Computes one figure from a played scenario. */
type Measure = (result: PlayResult, account?: string) => number;

/** Every measure that a play's text may name. Times in ms. */
export const MEASURES: Record<string, Measure> = {
  'first-token-p50': (result, account) => readFirstToken(result, account, 50),
  'first-token-p95': (result, account) => readFirstToken(result, account, 95),
  'first-token-p99': (result, account) => readFirstToken(result, account, 99),
  'burst-first-token-p99': result =>
    readPercentile(result.firstTokenOfBurst, 99),
  'burst-held-p99': result => readPercentile(result.heldOfBurst, 99),
  'burst-held-max': result => readPercentile(result.heldOfBurst, 100),
  'answered-share': result => computeShare(result, account => account.answered),
  /** Of the account that sends least: it is inside any fair share. */
  'least-sender': computeLeastSender,
  goodput: result =>
    (sumAccounts(result, account => account.answered) * 1000) /
    (result.play.durationMs - result.play.warmupMs),
  'late-share': result =>
    sumAccounts(result, account => account.late) /
    Math.max(1, countInside(result)),
  'worst-account': computeWorstAccount,
  'worst-prompt': computeWorstPrompt,
  'wrongful-share': result =>
    result.wrongful / Math.max(1, countInside(result)),
  refused: result => sumValues(result.refused),
  late: result => sumAccounts(result, account => account.late),
  failed: result => sumAccounts(result, account => account.failed),
  'slowest-refusal': result => result.slowestRefusalMs,
  'batch-rate': computeBatchRate,
  'batch-wasted': result =>
    result.batch.yielded / Math.max(1, result.batch.completed),
  'batch-done-at': result => result.batch.doneAt ?? Infinity,
};

/** Of one account, or of all. */
function readFirstToken(
  result: PlayResult,
  account: string | undefined,
  percentile: number,
): number {
  const one = account ? result.accounts.get(account) : result;
  if (!one) throw new Error(`no account '${account}' in ${result.play.name}`);
  return readPercentile(one.firstToken, percentile);
}

/** Batch items completed a second. */
export function computeBatchRate(result: PlayResult): number {
  const {durationMs, warmupMs} = result.play;
  return (result.batch.completed * 1000) / (durationMs - warmupMs);
}

/** Share answered in time of what an account sent inside its rate. */
export function computeAnsweredShare(account: AccountResult): number {
  return account.inside === 0 ? 1 : account.answered / account.inside;
}

/** Share of an account's requests inside its rate with a prompt first token. */
export function computePromptShare(account: AccountResult): number {
  return account.inside === 0 ? 1 : account.prompt / account.inside;
}

/** The worst-served account's share, relative to the median account's. */
function computeWorstAccount(result: PlayResult): number {
  return compareWorst(result, computeAnsweredShare);
}

function computeLeastSender(result: PlayResult): number {
  const accounts = [...result.accounts.values()];
  accounts.sort((a, b) => a.inside + a.beyond - b.inside - b.beyond);
  return computeAnsweredShare(accounts[0]);
}

function computeWorstPrompt(result: PlayResult): number {
  return compareWorst(result, computePromptShare);
}

/** Accounts that kept inside their rate only: the sender of more is its own cause. */
function compareWorst(
  result: PlayResult,
  computeServed: (account: AccountResult) => number,
): number {
  const shares = [...result.accounts.values()]
    .filter(({inside, beyond}) => inside > 0 && beyond === 0)
    .map(computeServed)
    .sort((a, b) => a - b);
  if (shares.length === 0) return 1;
  return shares[0] / shares[Math.floor(shares.length / 2)];
}

function computeShare(
  result: PlayResult,
  count: (account: AccountResult) => number,
): number {
  return sumAccounts(result, count) / Math.max(1, countInside(result));
}

function countInside(result: PlayResult): number {
  return sumAccounts(result, account => account.inside);
}

function sumAccounts(
  result: PlayResult,
  count: (account: AccountResult) => number,
): number {
  let sum = 0;
  for (const account of result.accounts.values()) sum += count(account);
  return sum;
}

function sumValues(counts: ReadonlyMap<unknown, number>): number {
  let sum = 0;
  for (const count of counts.values()) sum += count;
  return sum;
}
