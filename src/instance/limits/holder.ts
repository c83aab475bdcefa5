/**
 * This instance as a holder: it grants tokens of the buckets it holds, obtains
 * those that nobody holds, and takes over after a holder that is gone.
 */
import type {Clock} from '../../common/clock.js';
import type {Metrics} from '../../common/metrics.js';
import type {BucketLimits} from '../../decisions/rate_bucket.js';
import {
  CLOCK_MARGIN_MS,
  GRANT_LIFETIME_MS,
} from '../../decisions/rate_constants.js';
import type {ViewMember} from '../../decisions/rate_view.js';
import type {LeaseObserver} from '../members/instance_lease.js';
import type {Members} from '../members/members.js';
import {createAcquisition} from './acquisition.js';
import type {BucketTable} from './bucket_table.js';
import {RETRY_MS} from './constants.js';
import {
  createHeldBuckets,
  type HeldBucket,
  type HeldView,
} from './held_buckets.js';
import {
  buildUnavailable,
  type DrawInput,
  type DrawReply,
  type HandOverInput,
  type RenewInput,
  type RenewReply,
  type SettleInput,
  type VoteInput,
  type VoteReply,
} from './limit_messages.js';
import type {LimitPeers} from './limit_peers.js';
import type {LimitProcedures} from './limits_router.js';
import type {OwnView} from './own_view.js';
import type {Standby} from './standby.js';
import {createTakeovers} from './takeovers.js';
import {createViewUpkeep} from './view_upkeep.js';

/** The holder's part of limits. */
export interface Holder extends LimitProcedures {
  /** Takes a bucket that nobody holds; returns whether somebody holds it now. */
  ensureHeld(bucket: string, limits: BucketLimits): Promise<boolean>;
  /** Renews promises, sets reserves, and moves buckets to a newer view. */
  runRound(): Promise<void>;
  /** Passes everything on, so that nobody waits for this instance. */
  shut(): Promise<void>;
  describe(now: number): object;
}

/** What the holder works with. */
export interface HolderDependencies {
  clock: Clock;
  metrics: Metrics;
  members: Members;
  table: BucketTable;
  peers: LimitPeers;
  standby: Standby;
  ownView: OwnView;
  observer: LeaseObserver;
  getIncarnation(): string;
  isSelf(incarnation: string): boolean;
  /** Until when this instance may act as owner, by its lease or an outage. */
  isFenced(until: number): boolean;
  /** Whether the store is up for most of the fleet. */
  isStoreUp(): boolean;
}

/** Starts holding nothing. */
export function createHolder(dependencies: HolderDependencies): Holder {
  const {clock, members, table, peers, standby, ownView} = dependencies;
  const {getIncarnation, isSelf, isFenced} = dependencies;
  const buckets = createHeldBuckets(getIncarnation);
  const counter = dependencies.metrics.createCounter(
    'limit_takeovers_total',
    'Views of buckets taken over from another holder, by way',
    ['way'],
  );
  let shutting = false;
  let incarnation = getIncarnation();
  const takeovers = createTakeovers({
    ...dependencies,
    counter,
    isLive,
    isHeld: id => buckets.find(id) !== undefined,
  });
  const acquisition = createAcquisition({
    ...dependencies,
    buckets,
    takeovers,
    counter,
    isLive,
    mayAct: () => !shutting && isFenced(clock.now()),
  });
  const upkeep = createViewUpkeep({...dependencies, buckets});

  /** This very run of it: another one holds nothing. */
  function isLive(member: ViewMember): boolean {
    const {name, address} = member;
    const heard = members.findIncarnation(name) ?? member.incarnation;
    if (heard !== member.incarnation || name === members.self.name)
      return false;
    return members
      .listLive()
      .some(one => one.name === name && one.address === address);
  }

  /**
   * Failure it answers: this instance and its views' other members were silent
   * for a lease, others claimed their buckets in the table, and all wake up.
   * Symptom: they promise and elect each other again, beside the new holder.
   * A claim expires their leases first, so that whoever lost its lease starts
   * anew and forgets; until it knows, it is not fenced and grants nothing.
   */
  function resetIfLeaseLost() {
    if (getIncarnation() === incarnation) return;
    incarnation = getIncarnation();
    buckets.clear();
    takeovers.clear();
    acquisition.clear();
    standby.clear();
    ownView.get()?.right.noteLost();
    ownView.clear();
  }

  function isGrantable(bucket: HeldBucket, now: number): boolean {
    const until = now + GRANT_LIFETIME_MS + CLOCK_MARGIN_MS;
    if (shutting || !isFenced(until)) return false;
    return bucket.views.every(({right}) => right.canGrant(now));
  }

  function listSuccessors({views}: HeldBucket): string[] {
    const members = views[0].view.members;
    return members
      .filter(({incarnation}) => !isSelf(incarnation))
      .map(({address}) => address);
  }

  async function drawHeld(
    bucket: HeldBucket,
    {wanted, limits}: DrawInput,
  ): Promise<DrawReply> {
    bucket.ledger.setLimits(limits, clock.now());
    await releaseReserve(bucket, wanted);
    const now = clock.now();
    // It may have been given up while the standby answered.
    if (buckets.find(bucket.id) !== bucket) return buildUnavailable(RETRY_MS);
    if (!isGrantable(bucket, now)) {
      return buildUnavailable(RETRY_MS, listSuccessors(bucket));
    }
    const grant = bucket.ledger.draw(wanted, now);
    return {
      kind: 'granted',
      ...grant,
      recovering: now < bucket.recoveringUntil,
      run: bucket.tag,
      successors: listSuccessors(bucket),
    };
  }

  /**
   * A burst that needs the tokens set aside gets them: the standby is told
   * first, and only when it has taken that in are they used here.
   */
  async function releaseReserve(bucket: HeldBucket, wanted: number) {
    const {ledger} = bucket;
    if (bucket.lowering || ledger.reserved === 0) return;
    if (ledger.readLevel(clock.now()).tokens - ledger.reserved >= wanted)
      return;
    bucket.lowering = true;
    const run = bucket.views[0].view.run;
    const isTold = ownView.get()?.view.run === run;
    const taken = !isTold || (await ownView.reportReserve(bucket, 0));
    bucket.lowering = false;
    if (taken) ledger.releaseReserve(clock.now());
  }

  async function draw(input: DrawInput): Promise<DrawReply> {
    resetIfLeaseLost();
    const {bucket: id, limits} = input;
    const held = buckets.find(id);
    if (held) return drawHeld(held, input);
    const known = acquisition.findRedirect(id);
    if (known) return known;
    const reply = await acquisition.acquire(id, limits);
    if (reply) return reply;
    const obtained = buckets.find(id);
    return obtained ? drawHeld(obtained, input) : buildUnavailable(RETRY_MS);
  }

  async function releaseView(own: HeldView) {
    const now = clock.now();
    const input = {
      view: own.view,
      owned: own.right.isOwned,
      buckets: upkeep.listOwn().map(({id, ledger, limits}) => ({
        bucket: id,
        limits,
        ...ledger.readLevel(now),
      })),
    };
    own.right.noteLost();
    const heir = own.view.members.slice(1).find(isLive);
    if (!heir) return giveBack(input.buckets);
    await peers.handOver(heir.address, {...input, to: heir.incarnation});
  }

  /** Nobody is left to take over: the rows keep what was in hand. */
  async function giveBack(given: {bucket: string; tokens: number}[]) {
    for (const {bucket, tokens} of given) {
      const row = await table.find(bucket);
      if (row?.run !== ownView.get()?.view.run || !row) continue;
      await table.replace(bucket, row.version, '', Math.max(0, tokens));
    }
  }

  return {
    draw,
    settle({grants}: SettleInput) {
      for (const {bucket, run, grantId, unspent} of grants) {
        const held = buckets.find(bucket);
        if (held?.tag === run)
          held.ledger.settle(grantId, unspent, clock.now());
      }
    },
    renew(input: RenewInput): RenewReply {
      resetIfLeaseLost();
      return standby.renew(input, clock.now());
    },
    vote(input: VoteInput): VoteReply {
      resetIfLeaseLost();
      return standby.vote(input, clock.now());
    },
    handOver(input: HandOverInput) {
      resetIfLeaseLost();
      const isForThisRun = !shutting && isSelf(input.to);
      return {accepted: isForThisRun && takeovers.receive(input)};
    },
    async ensureHeld(id, limits) {
      resetIfLeaseLost();
      if (buckets.find(id)) return true;
      const reply = await acquisition.acquire(id, limits);
      return reply?.kind === 'redirect' || buckets.find(id) !== undefined;
    },
    async runRound() {
      resetIfLeaseLost();
      if (!shutting) await upkeep.runRound();
    },
    async shut() {
      shutting = true;
      const own = ownView.get();
      if (own && !own.right.isLost) await releaseView(own);
    },
    describe: now => ({
      view: ownView.get()?.view,
      promises: ownView.get()?.right.listPromises(now),
      held: Object.fromEntries(
        buckets.list().map(({id, ledger}) => [id, ledger.describe(now)]),
      ),
      inherited: takeovers.countInheritances(),
      standby: standby.describe(now),
    }),
  };
}
