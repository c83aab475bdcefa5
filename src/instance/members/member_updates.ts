/**
 * Updates about members: which instances are live, suspected or leaving. They
 * are sent along with heartbeats, so that all views agree within a few
 * heartbeat rounds after a member dies, although each instance watches only a
 * few others.
 *
 * An instance that learns that it is suspected responds with a higher counter,
 * which outranks the suspicion wherever both arrive (the refutation of SWIM,
 * Das, Gupta and Motivala 2002).
 */
import * as z from 'zod';
import {
  FRESH_UPDATE_MS,
  MAX_UPDATES_PER_HEARTBEAT,
  UPDATE_LIFETIME_MS,
  RECORD_LIFETIME_MS,
} from './constants.js';

/** An update about one run of an instance. */
export const memberUpdateSchema = z.strictObject({
  name: z.string().max(63),
  incarnation: z.string().max(64),
  state: z.enum(['live', 'suspected', 'leaving']),
  /** Raised by the instance itself to outrank a suspicion. */
  counter: z.number().int().nonnegative(),
});

/** An update about one run of an instance. */
export type MemberUpdate = z.infer<typeof memberUpdateSchema>;

const STATE_RANK: Record<MemberUpdate['state'], number> = {
  live: 0,
  suspected: 1,
  leaving: 2,
};

/** Whether `next` supersedes `held`. */
export function isNewer(next: MemberUpdate, held: MemberUpdate): boolean {
  if (next.incarnation !== held.incarnation) {
    return next.incarnation > held.incarnation;
  }
  if (next.counter !== held.counter) return next.counter > held.counter;
  return STATE_RANK[next.state] > STATE_RANK[held.state];
}

interface UpdateRecord {
  update: MemberUpdate;
  changedAt: number;
}

/** The newest update of each instance. */
export interface MemberUpdates {
  find(name: string): MemberUpdate | undefined;
  /**
   * Stores an update if it is newer. Returns whether the state or incarnation
   * changed.
   */
  note(update: MemberUpdate, now: number): boolean;
  /**
   * Stores an update whatever was stored before: what this instance observes
   * itself outranks what others report.
   */
  replace(update: MemberUpdate, now: number): boolean;
  /** The newest updates, for the next heartbeat. */
  select(now: number): MemberUpdate[];
  /** Whether there are updates that may not have reached all views yet. */
  hasFresh(now: number): boolean;
  /** Drops old records of instances that are not in `listed`. */
  expire(listed: ReadonlySet<string>, now: number): void;
  list(): MemberUpdate[];
}

/** Creates a collection without updates. */
export function createMemberUpdates(): MemberUpdates {
  const records = new Map<string, UpdateRecord>();

  function put(next: MemberUpdate, now: number): boolean {
    const held = records.get(next.name)?.update;
    records.set(next.name, {update: next, changedAt: now});
    return held?.state !== next.state || held.incarnation !== next.incarnation;
  }

  return {
    find: name => records.get(name)?.update,
    note(update, now) {
      const held = records.get(update.name)?.update;
      if (held && !isNewer(update, held)) return false;
      return put(update, now);
    },
    replace: put,
    select: now =>
      [...records.values()]
        .filter(({changedAt}) => now - changedAt < UPDATE_LIFETIME_MS)
        .sort((a, b) => b.changedAt - a.changedAt)
        .slice(0, MAX_UPDATES_PER_HEARTBEAT)
        .map(({update}) => update),
    hasFresh: now =>
      [...records.values()].some(
        ({changedAt}) => now - changedAt < FRESH_UPDATE_MS,
      ),
    expire(listed, now) {
      for (const [name, {changedAt}] of records) {
        const isOld = now - changedAt > RECORD_LIFETIME_MS;
        if (isOld && !listed.has(name)) records.delete(name);
      }
    },
    list: () => [...records.values()].map(({update}) => update),
  };
}
