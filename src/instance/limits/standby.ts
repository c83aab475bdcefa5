/**
 * The standby role of this instance: it promises holders not to take over,
 * votes, and records which buckets it would take over.
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
 * Number of records above which the oldest one without a vote is dropped, which
 * only makes a takeover slower. A record with a vote is never dropped, because
 * a late renewal would then get a new promise.
 */
const MAX_RECORDS = 2000;

/** A standby's record of one view. */
export interface StandbyRecord {
  view: RateView;
  vote: StandbyVote;
  sequence: number;
  /** Tokens reserved for this standby, by bucket. */
  buckets: Map<string, number>;
}

/** The operations of a standby. */
export interface Standby {
  renew(input: RenewInput, now: number): RenewReply;
  vote(input: VoteInput, now: number): VoteReply;
  find(run: string): StandbyRecord | undefined;
  /** Lists the records that contain this bucket, the newest view first. */
  listByBucket(bucket: string): StandbyRecord[];
  /** Returns the record of a view, and adds one if there is none. */
  add(view: RateView): StandbyRecord;
  /** Drops all records; called when this instance has lost its lease. */
  clear(): void;
  describe(now: number): object;
}

/** `isSelf` tells whether an incarnation is the current one of this process. */
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
      // A message that arrives late must not restore an older reserve.
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
