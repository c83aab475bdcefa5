/**
 * Decides how much of an instance's memory each response may use that its caller has
 * not read yet.
 *
 * Load pattern: callers read their responses slowly or not at all, while endpoints
 * send at their own pace and cut off a response that stays unread for seconds.
 *
 * Without a buffer, each slow caller occupies a slot through back pressure until the
 * endpoint cuts its response off. With an unbounded buffer, a few hundred of them
 * exhaust the memory, and all requests of the instance are lost with the process.
 * With a bound alone, the slow callers of one account use all of it and delay the
 * responses of the other accounts.
 *
 * An account may hold ACCOUNT_FACTOR times what is free of the budget. As more is
 * held, less is free, so the accounts that hold the most reach the limit first, and
 * those that need less keep what they need, as with max-min shares. Some memory stays
 * free for accounts that hold nothing yet. Within an account, a response may hold
 * RESPONSE_FACTOR times what is left of the account's limit. A response beyond its
 * limit is paused, and one of which nothing is held is never paused.
 *
 * A response that was paused for PAUSE_LIMIT_MS would soon be cut off by its endpoint;
 * short times in which it is read do not count, as the buffers between the two hide
 * them from the endpoint. It is ended, unless ending paused responses of the same
 * account that received less in total makes room for it. Paused responses are ended at once, those that received
 * least first, if the largest account holds OVERSHOOT_SHARE of the budget more than its
 * limit, so that other accounts need not wait for room, or if the budget is exceeded.
 * Complete responses are never ended.
 */

import {
  ACCOUNT_FACTOR,
  CATCH_UP_BYTES,
  CATCH_UP_MS,
  OVERSHOOT_SHARE,
  PAUSE_LIMIT_MS,
  READ_BYTES,
  RESPONSE_FACTOR,
} from './answer_memory_constants.js';

/** Memory that is used for one response or one request body. */
interface Holding {
  account: string;
  /** Bytes held now. */
  bytes: number;
  /** Bytes received so far, which are lost if it is ended. */
  received: number;
  /** Whether nothing more is received. */
  isComplete: boolean;
  /** Since when its endpoint sees that it is not read; meaningful while paused. */
  unreadSince: number;
  /** When it was last resumed, and what it had received then. */
  resumedAt: number;
  resumedWith: number;
}

/** What to do with paused responses. */
export interface MemoryDecision<Key> {
  resumed: Key[];
  ended: Key[];
}

/** The memory that callers occupy, by an opaque key of each response or body. */
export interface AnswerMemory<Key> {
  /** Replaces the size of a holding; adds the holding if the key is new. */
  update(key: Key, account: string, bytes: number, received: number): void;
  markComplete(key: Key): void;
  remove(key: Key): void;
  /** Decides whether a response must be paused, and marks it as paused. */
  shouldPause(key: Key, now: number): boolean;
  /** Decides whether a paused response may go on; it is then not paused any more. */
  shouldResume(key: Key, now: number): boolean;
  /** Returns whether the account may hold `bytes` more. */
  hasRoom(account: string, bytes: number): boolean;
  /** Decides on the paused responses, which are then no longer marked as paused. */
  decide(now: number): MemoryDecision<Key>;
  /**
   * Selects the responses to end because the budget is exceeded since `latest` was
   * updated, which is ended only if no paused one is left.
   */
  endOverflow(latest: Key): Key[];
  countBytes(): number;
  countPaused(): number;
  /** Lists the accounts that hold memory, the largest first. */
  listAccounts(): {account: string; bytes: number}[];
}

/** `budget` is in bytes. */
export function createAnswerMemory<Key>(budget: number): AnswerMemory<Key> {
  const holdings = new Map<Key, Holding>();
  const accounts = new Map<string, number>();
  const paused = new Map<Key, Holding>();
  let total = 0;

  function addBytes(account: string, bytes: number) {
    total += bytes;
    const held = (accounts.get(account) ?? 0) + bytes;
    if (held > 0) accounts.set(account, held);
    else accounts.delete(account);
  }

  function computeAccountRoom(account: string): number {
    return ACCOUNT_FACTOR * (budget - total) - (accounts.get(account) ?? 0);
  }

  /**
   * Whether a response may go on. `growth` is what it and others receive before the
   * next decision, `freed` what its account stops to hold.
   */
  function isWithinLimit(
    {account, bytes}: Holding,
    {growth = 0, freed = 0}: {growth?: number; freed?: number} = {},
  ): boolean {
    if (bytes === 0) return true;
    // A byte changes both what is free and what the account may still hold.
    const room =
      computeAccountRoom(account) + (ACCOUNT_FACTOR + 1) * (freed - growth);
    return bytes + growth < RESPONSE_FACTOR * room;
  }

  function removeHolding(key: Key) {
    const holding = holdings.get(key);
    if (!holding) return;
    holdings.delete(key);
    paused.delete(key);
    addBytes(holding.account, -holding.bytes);
  }

  /** Lists the paused responses of an account, those that received least first. */
  function listPaused(account: string) {
    return [...paused]
      .filter(([, holding]) => holding.account === account)
      .sort(([, a], [, b]) => a.received - b.received);
  }

  /**
   * Selects the responses to end so that one may go on: the cheapest ones that make
   * enough room, or else the response itself.
   */
  function selectEnded(key: Key, holding: Holding): Key[] {
    const selected: Key[] = [];
    let lost = 0;
    let freed = 0;
    for (const [other, {bytes, received}] of listPaused(holding.account)) {
      lost += received;
      if (lost >= holding.received) break;
      freed += bytes;
      selected.push(other);
      if (isWithinLimit(holding, {growth: READ_BYTES, freed})) return selected;
    }
    return [key];
  }

  function isExpired({unreadSince}: Holding, now: number): boolean {
    return now - unreadSince >= PAUSE_LIMIT_MS;
  }

  function endExpired(now: number): Key[] {
    const ended: Key[] = [];
    for (const [key, holding] of paused) {
      if (!isExpired(holding, now)) continue;
      if (isWithinLimit(holding, {growth: READ_BYTES})) continue;
      for (const selected of selectEnded(key, holding)) {
        removeHolding(selected);
        ended.push(selected);
      }
    }
    return ended;
  }

  function isOvershooting(account: string): boolean {
    return computeAccountRoom(account) < -OVERSHOOT_SHARE * budget;
  }

  /** Ends paused responses of the largest account while it exceeds its limit. */
  function endOvershoot(): Key[] {
    const ended: Key[] = [];
    const [largest] = listAccounts();
    if (!largest || !isOvershooting(largest.account)) return ended;
    for (const [key] of listPaused(largest.account)) {
      if (!isOvershooting(largest.account)) break;
      removeHolding(key);
      ended.push(key);
    }
    return ended;
  }

  function listAccounts() {
    return [...accounts]
      .map(([account, bytes]) => ({account, bytes}))
      .sort((a, b) => b.bytes - a.bytes);
  }

  /** Resumes expired responses first, then those that hold the least. */
  function resumeAllowed(now: number): Key[] {
    const resumed: Key[] = [];
    const order = [...paused].sort(
      ([, a], [, b]) =>
        Number(isExpired(b, now)) - Number(isExpired(a, now)) ||
        a.bytes - b.bytes,
    );
    for (const [key, holding] of order) {
      const growth = (resumed.length + 1) * READ_BYTES;
      if (!isWithinLimit(holding, {growth})) continue;
      resumeHolding(key, holding, now);
      resumed.push(key);
    }
    return resumed;
  }

  function resumeHolding(key: Key, holding: Holding, now: number) {
    if (!paused.delete(key)) return;
    holding.resumedAt = now;
    holding.resumedWith = holding.received;
  }

  function markPaused(key: Key, holding: Holding, now: number) {
    if (paused.has(key)) return;
    const {resumedAt, resumedWith, received} = holding;
    const hasCaughtUp =
      now - resumedAt >= CATCH_UP_MS ||
      received - resumedWith >= CATCH_UP_BYTES;
    if (hasCaughtUp) holding.unreadSince = now;
    paused.set(key, holding);
  }

  return {
    update(key, account, bytes, received) {
      const holding = holdings.get(key) ?? {
        account,
        bytes: 0,
        received,
        isComplete: false,
        unreadSince: 0,
        resumedAt: -Infinity,
        resumedWith: 0,
      };
      holdings.set(key, holding);
      addBytes(account, bytes - holding.bytes);
      holding.bytes = bytes;
      holding.received = received;
    },
    markComplete(key) {
      const holding = holdings.get(key);
      if (holding) holding.isComplete = true;
      paused.delete(key);
    },
    remove: removeHolding,
    shouldPause(key, now) {
      const holding = holdings.get(key);
      if (!holding || holding.isComplete) return false;
      if (isWithinLimit(holding)) {
        resumeHolding(key, holding, now);
        return false;
      }
      markPaused(key, holding, now);
      return true;
    },
    shouldResume(key, now) {
      const holding = paused.get(key);
      if (!holding || !isWithinLimit(holding, {growth: READ_BYTES}))
        return false;
      resumeHolding(key, holding, now);
      return true;
    },
    hasRoom: (account, bytes) =>
      bytes <= budget - total && bytes <= computeAccountRoom(account),
    decide(now) {
      const ended = [...endExpired(now), ...endOvershoot()];
      return {ended, resumed: resumeAllowed(now)};
    },
    endOverflow(latest) {
      const ended: Key[] = [];
      if (total <= budget) return ended;
      const candidates = listAccounts().flatMap(({account}) =>
        listPaused(account).map(([key]) => key),
      );
      for (const key of [...candidates.filter(key => key !== latest), latest]) {
        if (total <= budget) break;
        removeHolding(key);
        ended.push(key);
      }
      return ended;
    },
    countBytes: () => total,
    countPaused: () => paused.size,
    listAccounts,
  };
}
