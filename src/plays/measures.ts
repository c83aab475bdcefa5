/** Measures of a simulation, by the names used in expectations and reports. */
import {
  readPercentile,
  type AccountResult,
  type SimulationResult,
} from './simulation_result.js';

/** Computes one figure from the result of a simulation. */
type Measure = (result: SimulationResult, account?: string) => number;

/** Every measure that a scenario may name. Times are in ms. */
export const MEASURES: Record<string, Measure> = {
  'first-token-p50': (result, account) => readFirstToken(result, account, 50),
  'first-token-p95': (result, account) => readFirstToken(result, account, 95),
  'first-token-p99': (result, account) => readFirstToken(result, account, 99),
  'burst-first-token-p99': result =>
    readPercentile(result.firstTokenOfBurst, 99),
  'burst-held-p99': result => readPercentile(result.batchDelayOfBurst, 99),
  'burst-held-max': result => readPercentile(result.batchDelayOfBurst, 100),
  'answered-share': result => computeShare(result, account => account.answered),
  /** For the account that sends least, which is within any fair share. */
  'least-sender': computeLeastSender,
  goodput: result =>
    (sumAccounts(result, account => account.answered) * 1000) /
    (result.scenario.durationMs - result.scenario.warmupMs),
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

/** Reads a first-token percentile of one account, or of all accounts. */
function readFirstToken(
  result: SimulationResult,
  account: string | undefined,
  percentile: number,
): number {
  const one = account ? result.accounts.get(account) : result;
  if (!one)
    throw new Error(`no account '${account}' in ${result.scenario.name}`);
  return readPercentile(one.firstToken, percentile);
}

/** Computes the batch items completed per second. */
export function computeBatchRate(result: SimulationResult): number {
  const {durationMs, warmupMs} = result.scenario;
  return (result.batch.completed * 1000) / (durationMs - warmupMs);
}

/** Computes the share answered in time, of requests inside the rate. */
export function computeAnsweredShare(account: AccountResult): number {
  return account.inside === 0 ? 1 : account.answered / account.inside;
}

/** Computes the share with a prompt first token, of requests inside the rate. */
export function computePromptShare(account: AccountResult): number {
  return account.inside === 0 ? 1 : account.prompt / account.inside;
}

/** Computes the worst-served account's share relative to the median account's. */
function computeWorstAccount(result: SimulationResult): number {
  return compareWorst(result, computeAnsweredShare);
}

function computeLeastSender(result: SimulationResult): number {
  const accounts = [...result.accounts.values()];
  accounts.sort((a, b) => a.inside + a.beyond - b.inside - b.beyond);
  return computeAnsweredShare(accounts[0]);
}

function computeWorstPrompt(result: SimulationResult): number {
  return compareWorst(result, computePromptShare);
}

/**
 * Compares the worst account with the median one. Only accounts that stayed
 * inside their rate count, since one that exceeds its rate causes its refusals.
 */
function compareWorst(
  result: SimulationResult,
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
  result: SimulationResult,
  count: (account: AccountResult) => number,
): number {
  return sumAccounts(result, count) / Math.max(1, countInside(result));
}

function countInside(result: SimulationResult): number {
  return sumAccounts(result, account => account.inside);
}

function sumAccounts(
  result: SimulationResult,
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
