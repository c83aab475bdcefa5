/**
 * This instance as a standby: it promises holders not to take over, votes, and
 * remembers which buckets it would take over.
 */
import {
  createStandbyVote,
  type RateView,
  type StandbyVote,
} from '../../decisions/rate_view.js';
import type {
  RenewInput,
  RenewReply,
  VoteInput,
  VoteReply,
} from './limit_messages.js';

/**
 * Records kept. One without a vote may be dropped: that costs speed after a
 * loss. One with a vote never is, or a late renewal would be promised anew.
 */
const MAX_RECORDS = 2000;

/** What a standby knows of one view. */
export interface StandbyRecord {
  view: RateView;
  vote: StandbyVote;
  sequence: number;
  /** Tokens set aside here for each bucket. */
  buckets: Map<string, number>;
}

/** The standby's part of limits. */
export interface Standby {
  renew(input: RenewInput, now: number): RenewReply;
  vote(input: VoteInput, now: number): VoteReply;
  find(run: string): StandbyRecord | undefined;
  /** Records that have this bucket, the newest view first. */
  listByBucket(bucket: string): StandbyRecord[];
  /** Takes in a view whose holder hands it over. */
  add(view: RateView): StandbyRecord;
  /** Forgets everything: this instance lost its lease. */
  clear(): void;
  describe(now: number): object;
}

/** `isSelf` tells whether an incarnation is one of this process. */
export function createStandby(
  isSelf: (incarnation: string) => boolean,
): Standby {
  const records = new Map<string, StandbyRecord>();

  function findOrAdd(view: RateView): StandbyRecord {
    const held = records.get(view.run);
    if (held) return held;
    const vote = createStandbyVote(view.members[0].incarnation);
    const record = {view, vote, sequence: 0, buckets: new Map()};
    records.set(view.run, record);
    if (records.size > MAX_RECORDS) removeOldest();
    return record;
  }

  function removeOldest() {
    const oldest = [...records.values()].find(({vote}) => !vote.candidate);
    if (oldest) records.delete(oldest.view.run);
  }

  function applyChanges(
    record: StandbyRecord,
    sequence: number,
    changes: RenewInput['changes'],
  ) {
    record.sequence = sequence;
    for (const {bucket, tokens} of changes) record.buckets.set(bucket, tokens);
  }

  return {
    renew({view, to, sequence, changes}, now) {
      if (!isSelf(to)) return {kind: 'unknown'};
      const record = findOrAdd(view);
      if (record.vote.renew(now).kind === 'sealed') return {kind: 'sealed'};
      // A message that arrives late must not bring back an older reserve.
      const applied = sequence > record.sequence;
      if (applied) applyChanges(record, sequence, changes);
      return {kind: 'promised', applied};
    },
    vote({run, to, candidate}, now) {
      const record = records.get(run);
      if (!record || !isSelf(to)) return {kind: 'unknown'};
      return record.vote.vote(candidate, now);
    },
    find: run => records.get(run),
    listByBucket: bucket =>
      [...records.values()]
        .filter(record => record.buckets.has(bucket))
        .reverse(),
    add: findOrAdd,
    clear: () => records.clear(),
    describe: now =>
      [...records.values()].map(({view, vote, buckets}) => ({
        run: view.run,
        promisedMs: vote.computeWait(now),
        candidate: vote.candidate,
        buckets: buckets.size,
      })),
  };
}
