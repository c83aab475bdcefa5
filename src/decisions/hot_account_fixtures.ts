/** Load with a hot account, and what it takes from accounts within their share. */
import {
  isInTime,
  simulateAccounts,
  type AccountLoad,
  type RequestRecord,
} from './account_load.js';
import {computeRates} from './account_rates.js';
import {ALL_MECHANISMS} from './mechanisms.js';

const ACCOUNTS = 79;
export const RUN_MS = 2210;
const PEAK = 1.87;
const HOT = {from: 11_600, until: 17_400, factor: 8};
/** Requests per second that the slots can serve. */
const CAPACITY = (42 * 8 * 1000) / RUN_MS;
/** Limits of the page: shares of requests, and of what all accounts get. */
export const MAX_LOSS = 0.02;
export const MIN_RATIO = 0.25;

export const LOAD: Omit<AccountLoad, 'seed'> = {
  durationMs: 22_000,
  accounts: ACCOUNTS,
  endpoints: 42,
  perSecond: 152,
};

/** The rate up to which every account can be served (max-min fairness). */
function computeFairRate(rates: readonly number[]): number {
  const sorted = [...rates].sort((a, b) => a - b);
  let left = CAPACITY;
  for (const [index, rate] of sorted.entries()) {
    const equal = left / (sorted.length - index);
    if (rate > equal) return equal;
    left -= rate;
  }
  return Infinity;
}

export function isMeasured({arrivedAt, workClass}: RequestRecord): boolean {
  const isInWindow = arrivedAt >= HOT.from && arrivedAt < HOT.until + 2000;
  return workClass === 'online' && isInWindow;
}

export function computeShare(
  records: readonly RequestRecord[],
  condition: (record: RequestRecord) => boolean,
): number {
  return records.filter(condition).length / records.length;
}

const isServed = ({firstByteAt}: RequestRecord) => firstByteAt !== undefined;
const isLate = (record: RequestRecord) => !isInTime(record);
const isRefused = (record: RequestRecord) => !isServed(record);

/** Least served share of an account, relative to the share of all requests. */
export function computeLeastRatio(records: readonly RequestRecord[]): number {
  const all = computeShare(records, isServed);
  const shares = Array.from({length: ACCOUNTS}, (_, account) => {
    const own = records.filter(record => record.account === account);
    return own.length >= 8 ? computeShare(own, isServed) : all;
  });
  return Math.min(...shares) / all;
}

/**
 * Runs the load without and with a hot account, and compares the requests of
 * accounts whose peak rate is within their share.
 */
export function compareHot(
  hotAccount: number,
  load: Partial<AccountLoad> = {},
) {
  const rates = computeRates(ACCOUNTS, LOAD.perSecond).map(r => r * PEAK);
  const fairRate = computeFairRate(
    rates.map((rate, account) => rate * (account === hotAccount ? 8 : 1)),
  );
  const isWithinShare = ({account}: RequestRecord) =>
    account !== hotAccount && rates[account] < fairRate;
  const runSeeds = (hot?: AccountLoad['hot']) =>
    [1, 2, 3, 4]
      .flatMap(seed => simulateAccounts({...LOAD, ...load, seed, hot}))
      .filter(isMeasured);
  const before = runSeeds();
  const during = runSeeds({account: hotAccount, ...HOT});
  const [usual, beside] = [before, during].map(all =>
    all.filter(isWithinShare),
  );
  return {
    late: computeShare(beside, isLate) - computeShare(usual, isLate),
    refused: computeShare(beside, isRefused) - computeShare(usual, isRefused),
    lateShare: computeShare(beside, isLate),
    refusedShare: computeShare(beside, isRefused),
    served: computeShare(during, isServed),
    leastRatio: computeLeastRatio(during),
  };
}

export type Comparison = ReturnType<typeof compareHot>;

/** Lists the stated limits that are exceeded, with the figures. */
export function listBreaches({
  late,
  refused,
  leastRatio,
}: Comparison): string[] {
  const breaches = {
    late: late > MAX_LOSS && late,
    refused: refused > MAX_LOSS && refused,
    'least served account': leastRatio < MIN_RATIO && leastRatio,
  };
  return Object.entries(breaches)
    .filter(([, figure]) => figure !== false)
    .map(([name, figure]) => `${name}: ${figure}`);
}

export const WITHOUT_SLOT_SHARES = {...ALL_MECHANISMS, slotShares: false};
