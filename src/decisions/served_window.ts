/**
 * Counts, over the last SERVED_WINDOW_MS, how many of each account's requests
 * got a slot, and how evenly accounts were served. Requests count when they are
 * granted or refused, so that those that still wait do not look unserved.
 */
import {SERVED_SLICES, SERVED_WINDOW_MS} from './scheduler_constants.js';

/** Requests that were decided on, and those of them that got a slot. */
export interface ServedCount {
  ended: number;
  served: number;
}

/** How evenly the accounts were served; 1 if nothing was decided on. */
export interface ServedSummary {
  /** Jain's index of the served shares of accounts, 0 to 1. */
  jain: number;
  /** Served share of the tenth of the accounts that was served least. */
  worstTenth: number;
}

/** Served requests by account. */
export interface ServedWindow {
  note(account: string, isServed: boolean, now: number): void;
  count(account: string, now: number): ServedCount;
  countAll(now: number): ServedCount;
  summarize(now: number): ServedSummary;
  /** Refused requests by account; accounts without any are left out. */
  listRefused(now: number): Record<string, number>;
}

const SLICE_MS = SERVED_WINDOW_MS / SERVED_SLICES;

interface Slice {
  index: number;
  accounts: Map<string, ServedCount>;
}

/** Creates an empty window. */
export function createServedWindow(): ServedWindow {
  let slices: Slice[] = [];
  const totals = new Map<string, ServedCount>();
  const all: ServedCount = {ended: 0, served: 0};

  function addTo(
    count: ServedCount,
    {ended, served}: ServedCount,
    sign: 1 | -1,
  ) {
    count.ended += sign * ended;
    count.served += sign * served;
  }

  function removeSlice({accounts}: Slice) {
    for (const [account, count] of accounts) {
      const total = totals.get(account)!;
      addTo(total, count, -1);
      addTo(all, count, -1);
      if (total.ended === 0) totals.delete(account);
    }
  }

  function expireSlices(now: number) {
    const oldest = Math.floor(now / SLICE_MS) - SERVED_SLICES;
    while (slices.length > 0 && slices[0].index <= oldest) {
      removeSlice(slices[0]);
      slices = slices.slice(1);
    }
  }

  function getSlice(now: number): Slice {
    const index = Math.floor(now / SLICE_MS);
    const last = slices.at(-1);
    if (last && last.index >= index) return last;
    const added: Slice = {index, accounts: new Map()};
    slices.push(added);
    return added;
  }

  function getOrCreate(counts: Map<string, ServedCount>, account: string) {
    const known = counts.get(account) ?? {ended: 0, served: 0};
    counts.set(account, known);
    return known;
  }

  return {
    note(account, isServed, now) {
      expireSlices(now);
      const count = {ended: 1, served: isServed ? 1 : 0};
      addTo(getOrCreate(getSlice(now).accounts, account), count, 1);
      addTo(getOrCreate(totals, account), count, 1);
      addTo(all, count, 1);
    },
    count(account, now) {
      expireSlices(now);
      return totals.get(account) ?? {ended: 0, served: 0};
    },
    countAll(now) {
      expireSlices(now);
      return all;
    },
    summarize(now) {
      expireSlices(now);
      const shares = [...totals.values()].map(
        ({ended, served}) => served / ended,
      );
      return summarizeShares(shares);
    },
    listRefused(now) {
      expireSlices(now);
      return Object.fromEntries(
        [...totals]
          .filter(([, {ended, served}]) => served < ended)
          .map(([account, {ended, served}]) => [account, ended - served]),
      );
    },
  };
}

function summarizeShares(shares: readonly number[]): ServedSummary {
  const sum = shares.reduce((held, share) => held + share, 0);
  if (shares.length === 0) return {jain: 1, worstTenth: 1};
  const squares = shares.reduce((held, share) => held + share * share, 0);
  const jain = squares === 0 ? 1 : (sum * sum) / (shares.length * squares);
  const tenth = [...shares]
    .sort((a, b) => a - b)
    .slice(0, Math.ceil(shares.length / 10));
  const worstTenth =
    tenth.reduce((held, share) => held + share, 0) / tenth.length;
  return {jain, worstTenth};
}
