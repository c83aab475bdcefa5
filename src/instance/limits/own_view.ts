/**
 * The view in which this instance is the holder. It is chosen, written once and
 * maintained by renewals, and replaced when a standby is lost or more standbys
 * are available.
 */
import type {Clock} from '../../common/clock.js';
import {rankByRendezvous} from '../../decisions/instance_ranking.js';
import {
  createHolderRight,
  isElected,
  type RateView,
  type ViewMember,
} from '../../decisions/rate_view.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import type {Members} from '../members/members.js';
import type {BucketTable} from './bucket_table.js';
import {STANDBY_SILENCE_MS} from './constants.js';
import type {HeldBucket, HeldView} from './held_buckets.js';
import type {LimitPeers} from './limit_peers.js';

/** Number of standbys of one view. */
const STANDBYS = 2;

/** The holder's own view. */
export interface OwnView {
  get(): HeldView | undefined;
  /** Creates a view; concurrent calls get the same one. Throws StoreError. */
  create(): Promise<HeldView | undefined>;
  /** Asks each standby for its promise and sends it changes of `buckets`. */
  renew(buckets: readonly HeldBucket[]): Promise<void>;
  /** Sends a reserve to the first standby; returns whether it was applied. */
  reportReserve(bucket: HeldBucket, tokens: number): Promise<boolean>;
  /** Whether a new view should replace the current one. */
  isOutdated(): boolean;
  /** Makes this instance the only one that may act in the view. */
  takeOwnership(): Promise<boolean>;
  /** Drops the view. */
  clear(): void;
}

interface Dependencies {
  clock: Clock;
  members: Members;
  table: BucketTable;
  peers: LimitPeers;
  /** The incarnation of this instance's lease, to which a view is bound. */
  getIncarnation(): string;
}

interface StandbyState {
  member: ViewMember;
  lastPromiseAt: number;
  sentReserves: Map<string, number>;
}

/** Creates an own view that is still empty. */
export function createOwnView({
  clock,
  members,
  table,
  peers,
  getIncarnation,
}: Dependencies): OwnView {
  let held: HeldView | undefined;
  let standbys: StandbyState[] = [];
  let viewCount = 0;
  let sequence = 0;
  let creating: Promise<HeldView | undefined> | undefined;

  /** Lists live instances whose incarnation is known. */
  function listCandidates(): ListedInstance[] {
    return members
      .listLive()
      .filter(({name}) => name !== members.self.name)
      .filter(({name}) => members.findIncarnation(name) !== undefined);
  }

  /** Prefers other failure domains first, then this instance's region. */
  function chooseStandbys(): ListedInstance[] {
    const {self} = members;
    const others = listCandidates();
    const chosen: ListedInstance[] = [];
    const ranked = rankByRendezvous(self.name, others);
    const costs = ({region, failureDomain}: ListedInstance) => {
      const used = [self, ...chosen].map(one => one.failureDomain);
      return (
        (used.includes(failureDomain) ? 2 : 0) +
        (region === self.region ? 0 : 1)
      );
    };
    while (chosen.length < STANDBYS && chosen.length < ranked.length) {
      const left = ranked.filter(one => !chosen.includes(one));
      const least = Math.min(...left.map(costs));
      chosen.push(left.find(one => costs(one) === least)!);
    }
    return chosen;
  }

  function buildView(): RateView {
    const {name, address} = members.self;
    const incarnation = getIncarnation();
    const standbyMembers = chooseStandbys().map(one => ({
      name: one.name,
      address: one.address,
      incarnation: members.findIncarnation(one.name)!,
    }));
    return {
      run: `${incarnation}.${++viewCount}`,
      members: [{name, address, incarnation}, ...standbyMembers],
    };
  }

  async function writeView(): Promise<HeldView> {
    const view = buildView();
    await table.addView(view);
    standbys = view.members.slice(1).map(member => ({
      member,
      lastPromiseAt: clock.now(),
      sentReserves: new Map(),
    }));
    const next = {view, right: createHolderRight(view)};
    held = next;
    await renewAll([]);
    return next;
  }

  function listChanges(
    standby: StandbyState,
    buckets: readonly HeldBucket[],
  ): {bucket: string; tokens: number}[] {
    const isFirst = standby === standbys[0];
    return buckets
      .map(({id, ledger, isReleasingReserve}) => ({
        bucket: id,
        tokens: isFirst && !isReleasingReserve ? ledger.reserved : 0,
      }))
      .filter(({bucket, tokens}) => standby.sentReserves.get(bucket) !== tokens)
      .slice(0, 512);
  }

  async function renewStandby(
    standby: StandbyState,
    changes: {bucket: string; tokens: number}[],
  ): Promise<boolean> {
    const current = held!;
    const askedAt = clock.now();
    const {incarnation, address} = standby.member;
    const input = {
      view: current.view,
      to: incarnation,
      sequence: ++sequence,
      changes,
    };
    // A message that is lost may or may not have been applied, so that its
    // changes are sent again.
    for (const {bucket} of changes) standby.sentReserves.delete(bucket);
    const answer = await peers.renew(address, input);
    if (answer.kind === 'sealed') current.right.noteLost();
    if (answer.kind !== 'promised') return false;
    standby.lastPromiseAt = clock.now();
    current.right.notePromise(incarnation, askedAt);
    if (!answer.applied) return false;
    for (const {bucket, tokens} of changes)
      standby.sentReserves.set(bucket, tokens);
    return true;
  }

  async function renewAll(buckets: readonly HeldBucket[]): Promise<void> {
    await Promise.allSettled(
      standbys.map(one => renewStandby(one, listChanges(one, buckets))),
    );
  }

  async function fetchVote(
    view: RateView,
    member: ViewMember,
  ): Promise<[string, string] | undefined> {
    const {incarnation} = member;
    const candidate = view.members[0].incarnation;
    try {
      const answer = await peers.vote(member.address, {
        run: view.run,
        to: incarnation,
        candidate,
      });
      return answer.kind === 'voted'
        ? [incarnation, answer.candidate]
        : undefined;
    } catch {
      return undefined;
    }
  }

  return {
    get: () => held,
    create() {
      creating ??= writeView().finally(() => {
        creating = undefined;
      });
      return creating;
    },
    renew: renewAll,
    async reportReserve(bucket, tokens) {
      const first = standbys[0];
      if (!first) return true;
      const change = {bucket: bucket.id, tokens};
      return renewStandby(first, [change]).catch(() => false);
    },
    isOutdated() {
      if (!held) return false;
      const [holder] = held.view.members;
      if (holder.incarnation !== getIncarnation()) return true;
      const now = clock.now();
      const candidates = listCandidates();
      const silent = standbys.some(
        ({lastPromiseAt, member}) =>
          now - lastPromiseAt > STANDBY_SILENCE_MS ||
          !candidates.some(({name}) => name === member.name),
      );
      const possible = Math.min(STANDBYS, candidates.length);
      return silent || standbys.length < possible;
    },
    async takeOwnership() {
      if (!held || held.right.isLost) return false;
      if (held.right.isPermanent) return true;
      const {view, right} = held;
      const answers = await Promise.all(
        view.members.slice(1).map(member => fetchVote(view, member)),
      );
      const votes = new Map(answers.filter(answer => answer !== undefined));
      const candidate = view.members[0].incarnation;
      votes.set(candidate, candidate);
      if (!isElected(view, candidate, votes) || right.isLost) return false;
      right.notePermanent();
      return true;
    },
    clear() {
      held = undefined;
      standbys = [];
    },
  };
}
