/**
 * What instances say of each other: who is live, suspected or leaving. News is
 * passed along heartbeats, so that all views agree a few beats after a member
 * dies although each instance watches only a few others.
 *
 * An instance that hears itself suspected answers with a higher counter, which
 * outranks the suspicion wherever both arrive (the refutation of SWIM,
 * Das, Gupta and Motivala 2002).
 */
import * as z from 'zod';
import {
  FRESH_NEWS_MS,
  MAX_NEWS_PER_HEARTBEAT,
  NEWS_LIFETIME_MS,
  RECORD_LIFETIME_MS,
} from './constants.js';

/** One statement about one run of an instance. */
export const memberNewsSchema = z.strictObject({
  name: z.string().max(63),
  incarnation: z.string().max(64),
  state: z.enum(['live', 'suspected', 'leaving']),
  /** Raised by the instance itself to outrank a suspicion. */
  counter: z.number().int().nonnegative(),
});

/** A piece of news. */
export type MemberNews = z.infer<typeof memberNewsSchema>;

const STATE_RANK: Record<MemberNews['state'], number> = {
  live: 0,
  suspected: 1,
  leaving: 2,
};

/** Whether `next` replaces `held`. */
export function isNewer(next: MemberNews, held: MemberNews): boolean {
  if (next.incarnation !== held.incarnation) {
    return next.incarnation > held.incarnation;
  }
  if (next.counter !== held.counter) return next.counter > held.counter;
  return STATE_RANK[next.state] > STATE_RANK[held.state];
}

interface NewsRecord {
  news: MemberNews;
  changedAt: number;
}

/** The newest news of each instance. */
export interface NewsBoard {
  find(name: string): MemberNews | undefined;
  /** Takes in one piece; returns whether it changed what is held. */
  note(news: MemberNews, now: number): boolean;
  /** Replaces what is held: what was seen directly outranks what is told. */
  replace(news: MemberNews, now: number): boolean;
  /** The newest pieces, for the next message. */
  select(now: number): MemberNews[];
  /** Whether there is news that views may not agree on yet. */
  hasFresh(now: number): boolean;
  /** Drops old records of instances that are not in `listed`. */
  expire(listed: ReadonlySet<string>, now: number): void;
  list(): MemberNews[];
}

/** Starts without news. */
export function createNewsBoard(): NewsBoard {
  const records = new Map<string, NewsRecord>();

  function put(news: MemberNews, now: number): boolean {
    const held = records.get(news.name)?.news;
    records.set(news.name, {news, changedAt: now});
    return held?.state !== news.state || held.incarnation !== news.incarnation;
  }

  return {
    find: name => records.get(name)?.news,
    note(news, now) {
      const held = records.get(news.name)?.news;
      if (held && !isNewer(news, held)) return false;
      return put(news, now);
    },
    replace: put,
    select: now =>
      [...records.values()]
        .filter(({changedAt}) => now - changedAt < NEWS_LIFETIME_MS)
        .sort((a, b) => b.changedAt - a.changedAt)
        .slice(0, MAX_NEWS_PER_HEARTBEAT)
        .map(({news}) => news),
    hasFresh: now =>
      [...records.values()].some(
        ({changedAt}) => now - changedAt < FRESH_NEWS_MS,
      ),
    expire(listed, now) {
      for (const [name, {changedAt}] of records) {
        const isOld = now - changedAt > RECORD_LIFETIME_MS;
        if (isOld && !listed.has(name)) records.delete(name);
      }
    },
    list: () => [...records.values()].map(({news}) => news),
  };
}
