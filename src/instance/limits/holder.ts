/**
 * The holder role of this instance: it grants tokens of the buckets it holds,
 * acquires buckets without a holder, and takes over from holders that are lost.
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
import {createViewMaintenance} from './view_maintenance.js';

/** The operations of a holder. */
export interface Holder extends LimitProcedures {
  /** Acquires a bucket if it has no holder; returns whether it has one now. */
  ensureHeld(bucket: string, limits: BucketLimits): Promise<boolean>;
  /** Renews promises, sets reserves, and moves buckets to a newer view. */
  runRound(): Promise<void>;
  /** Hands everything over, so that no other instance waits for this one. */
  shut(): Promise<void>;
  describe(now: number): object;
}

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
  /**
   * Whether this instance may act as owner until a time, because of its lease
   * or of an outage of the store.
   */
  mayActUntil(until: number): boolean;
  /** Whether the store is up for most of the fleet. */
  isStoreUp(): boolean;
}

/** Creates a holder without buckets. */
export function createHolder(dependencies: HolderDependencies): Holder {
  const {clock, members, table, peers, standby, ownView} = dependencies;
  const {getIncarnation, isSelf, mayActUntil} = dependencies;
  const buckets = createHeldBuckets(getIncarnation);
  const counter = dependencies.metrics.createCounter(
    'limit_takeovers_total',
    'Views of buckets taken over from another holder, by way',
    ['way'],
  );
  let isShuttingDown = false;
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
    mayAct: () => !isShuttingDown && mayActUntil(clock.now()),
  });
  const maintenance = createViewMaintenance({...dependencies, buckets});

  /** Whether this incarnation is live; a later one holds nothing. */
  function isLive(member: ViewMember): boolean {
    const {name, address} = member;
    const knownIncarnation =
      members.findIncarnation(name) ?? member.incarnation;
    if (knownIncarnation !== member.incarnation || name === members.self.name)
      return false;
    return members
      .listLive()
      .some(one => one.name === name && one.address === address);
  }

  /**
   * Drops all state when the lease was lost. Otherwise, if this instance and
   * the other members of its views were paused for the length of a lease and
   * other instances claimed their buckets in the table, they would promise to
   * and elect each other again, beside the new holder. A claim expires their
   * leases first, so that each of them starts afresh. Until an instance learns
   * of the loss, the expired lease keeps it from granting.
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
    if (isShuttingDown || !mayActUntil(until)) return false;
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
    // The bucket may have been removed while the standby responded.
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
   * Releases the reserved tokens to a burst that needs them. They are used here
   * only after the standby has applied the change.
   */
  async function releaseReserve(bucket: HeldBucket, wanted: number) {
    const {ledger} = bucket;
    if (bucket.isReleasingReserve || ledger.reserved === 0) return;
    if (ledger.readLevel(clock.now()).tokens - ledger.reserved >= wanted)
      return;
    bucket.isReleasingReserve = true;
    const run = bucket.views[0].view.run;
    const isTold = ownView.get()?.view.run === run;
    const taken = !isTold || (await ownView.reportReserve(bucket, 0));
    bucket.isReleasingReserve = false;
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
    const acquired = buckets.find(id);
    return acquired ? drawHeld(acquired, input) : buildUnavailable(RETRY_MS);
  }

  async function releaseView(own: HeldView) {
    const now = clock.now();
    const input = {
      view: own.view,
      owned: own.right.isPermanent,
      buckets: maintenance.listOwn().map(({id, ledger, limits}) => ({
        bucket: id,
        limits,
        ...ledger.readLevel(now),
      })),
    };
    own.right.noteLost();
    const successor = own.view.members.slice(1).find(isLive);
    if (!successor) return storeRemainingTokens(input.buckets);
    await peers.handOver(successor.address, {
      ...input,
      to: successor.incarnation,
    });
  }

  /** Stores the remaining tokens in the rows, as no standby can take over. */
  async function storeRemainingTokens(
    given: {bucket: string; tokens: number}[],
  ) {
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
      const isForThisRun = !isShuttingDown && isSelf(input.to);
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
      if (!isShuttingDown) await maintenance.runRound();
    },
    async shut() {
      isShuttingDown = true;
      const own = ownView.get();
      if (own && !own.right.isLost) await releaseView(own);
    },
    describe: now => ({
      view: ownView.get()?.view,
      promises: ownView.get()?.right.listPromises(now),
      held: Object.fromEntries(
        buckets.list().map(({id, ledger}) => [id, ledger.describe(now)]),
      ),
      inherited: takeovers.countInherited(),
      standby: standby.describe(now),
    }),
  };
}
