/**
 * This instance as a holder: it grants tokens of the buckets it holds, obtains
 * those that nobody holds, and takes over after a holder that is gone.
 */
import type {Clock} from '../../common/clock.js';
import type {Metrics} from '../../common/metrics.js';
import type {BucketLimits, BucketLevel} from '../../decisions/rate_bucket.js';
import {
  CLOCK_MARGIN_MS,
  GRANT_LIFETIME_MS,
} from '../../decisions/rate_constants.js';
import {
  createHolderRight,
  isElected,
  type RateView,
  type ViewMember,
} from '../../decisions/rate_view.js';
import type {LeaseObserver} from '../members/instance_lease.js';
import type {Members} from '../members/members.js';
import type {BucketRow, BucketTable} from './bucket_table.js';
import {
  MOVES_PER_ROUND,
  REDIRECT_LIFETIME_MS,
  RESERVE_SHARE,
  RETRY_MS,
  STORE_RETRY_MS,
} from './constants.js';
import {
  createHeldBuckets,
  type HeldBucket,
  type HeldView,
} from './held_buckets.js';
import type {
  DrawInput,
  DrawReply,
  HandOverInput,
  RenewInput,
  RenewReply,
  SettleInput,
  VoteInput,
  VoteReply,
} from './limit_messages.js';
import type {LimitPeers} from './limit_peers.js';
import type {LimitProcedures} from './limits_router.js';
import type {OwnView} from './own_view.js';
import type {Standby, StandbyRecord} from './standby.js';

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

interface Inheritance {
  view: HeldView;
  level: BucketLevel;
}

type Obtained = DrawReply | undefined;

const FREE: BucketLevel = {tokens: 0, lent: 0};

/** Starts holding nothing. */
export function createHolder(dependencies: HolderDependencies): Holder {
  const {clock, members, table, peers, standby, ownView} = dependencies;
  const {observer, getIncarnation, isSelf, isFenced, isStoreUp} = dependencies;
  const buckets = createHeldBuckets(getIncarnation);
  const inherited = new Map<string, Inheritance>();
  const obtaining = new Map<string, Promise<Obtained>>();
  const redirects = new Map<string, {reply: DrawReply; until: number}>();
  const unclearCreates = new Set<string>();
  const adoptedRuns = new Map<string, HeldView>();
  const takeovers = dependencies.metrics.createCounter(
    'limit_takeovers_total',
    'Views of buckets taken over from another holder, by way',
    ['way'],
  );
  let shutting = false;
  let incarnation = getIncarnation();

  function buildUnavailable(
    retryAfterMs: number,
    addresses: string[] = [],
  ): DrawReply {
    return {kind: 'unavailable', retryAfterMs, addresses};
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
    inherited.clear();
    adoptedRuns.clear();
    unclearCreates.clear();
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

  function addBucket(
    id: string,
    view: HeldView,
    limits: BucketLimits,
    level: BucketLevel,
    isTakeover: boolean,
  ): undefined {
    inherited.delete(id);
    buckets.add(id, view, limits, level, isTakeover, clock.now());
    return undefined;
  }

  async function draw(input: DrawInput): Promise<DrawReply> {
    resetIfLeaseLost();
    const {bucket: id, limits} = input;
    const held = buckets.find(id);
    if (held) return drawHeld(held, input);
    const known = redirects.get(id);
    if (known && clock.now() < known.until) return known.reply;
    redirects.delete(id);
    const reply = await acquireOnce(id, limits);
    if (reply) return reply;
    const obtained = buckets.find(id);
    return obtained ? drawHeld(obtained, input) : buildUnavailable(RETRY_MS);
  }

  function acquireOnce(id: string, limits: BucketLimits): Promise<Obtained> {
    const running = obtaining.get(id);
    if (running) return running;
    const started = acquireBucket(id, limits)
      .catch(() => buildUnavailable(STORE_RETRY_MS))
      .finally(() => obtaining.delete(id));
    obtaining.set(id, started);
    return started;
  }

  async function acquireBucket(
    id: string,
    limits: BucketLimits,
  ): Promise<Obtained> {
    if (shutting || !isFenced(clock.now())) return buildUnavailable(RETRY_MS);
    for (const record of standby.listByBucket(id)) {
      const reply = await takeOver(record);
      if (reply) return reply;
      const heir = inherited.get(id);
      if (heir) return addBucket(id, heir.view, limits, heir.level, true);
    }
    const heir = inherited.get(id);
    if (heir) return addBucket(id, heir.view, limits, heir.level, true);
    return acquireFromTable(id, limits);
  }

  /** Undefined when done, or when this record leads nowhere. */
  async function takeOver(record: StandbyRecord): Promise<Obtained> {
    const {view, vote} = record;
    const self = view.members.find(({incarnation}) => isSelf(incarnation))!;
    if (adoptedRuns.has(view.run)) return undefined;
    const waitMs = vote.computeWait(clock.now());
    if (vote.candidate && vote.candidate !== self.incarnation) return undefined;
    if (waitMs > 0) return buildUnavailable(waitMs);
    return runElection(record, self);
  }

  /**
   * The first standby votes for itself before it asks; the second asks first,
   * and follows the first if that has voted: two candidates never block each
   * other.
   */
  async function runElection(
    record: StandbyRecord,
    self: ViewMember,
  ): Promise<Obtained> {
    const {view, vote} = record;
    const other = view.members
      .slice(1)
      .find(({incarnation}) => incarnation !== self.incarnation);
    const isFirst = view.members[1].incarnation === self.incarnation;
    const votes = new Map<string, string>();
    if (isFirst) vote.vote(self.incarnation, clock.now());
    if (other) {
      const answer = await fetchVote(view, other, self.incarnation);
      if (answer.kind === 'wait') return buildUnavailable(answer.retryAfterMs);
      // With the other standby lost as well only the table can decide.
      if (answer.kind === 'unknown') {
        return isLive(other) ? buildUnavailable(RETRY_MS) : undefined;
      }
      votes.set(other.incarnation, answer.candidate);
      if (!isFirst) vote.vote(answer.candidate, clock.now());
    }
    votes.set(self.incarnation, vote.candidate ?? '');
    if (isElected(view, self.incarnation, votes)) {
      takeovers.inc({way: 'votes'});
      registerView(record, new Map());
      return undefined;
    }
    const winner = view.members.find(one => one.incarnation === vote.candidate);
    return winner && !isSelf(winner.incarnation)
      ? {kind: 'redirect', addresses: [winner.address]}
      : undefined;
  }

  async function fetchVote(
    view: RateView,
    {address, incarnation: to}: ViewMember,
    candidate: string,
  ): Promise<VoteReply> {
    try {
      return await peers.vote(address, {run: view.run, to, candidate});
    } catch {
      return {kind: 'unknown'};
    }
  }

  /** Every bucket of the view is this instance's from now on. */
  function registerView(
    record: StandbyRecord,
    levels: Map<string, BucketLevel>,
  ) {
    const {view} = record;
    if (adoptedRuns.has(view.run)) return;
    const right = createHolderRight(view);
    right.noteOwned();
    const held = {view, right};
    adoptedRuns.set(view.run, held);
    for (const [id, tokens] of record.buckets) {
      const level = levels.get(id) ?? {tokens, lent: 0};
      if (!buckets.find(id)) inherited.set(id, {view: held, level});
    }
    record.buckets.clear();
  }

  async function acquireFromTable(
    id: string,
    limits: BucketLimits,
  ): Promise<Obtained> {
    const own = ownView.get() ?? (await ownView.create());
    const row = await table.find(id);
    if (!own || own.right.isLost) return buildUnavailable(RETRY_MS);
    if (!row) return createRow(id, limits, own);
    if (row.run === '') return acquireRow(id, limits, own, row, row.tokens);
    if (row.run === own.view.run) return resumeUnclear(id, limits, own);
    const adopted = adoptedRuns.get(row.run);
    if (adopted) return addBucket(id, adopted, limits, FREE, true);
    return resolveRow(id, limits, own, row);
  }

  async function createRow(
    id: string,
    limits: BucketLimits,
    own: HeldView,
  ): Promise<Obtained> {
    unclearCreates.add(id);
    const created = await table.replace(id, 0, own.view.run);
    unclearCreates.delete(id);
    if (!created) return buildUnavailable(RETRY_MS);
    const level = {tokens: limits.burst, lent: 0};
    return addBucket(id, own, limits, level, false);
  }

  /** The write that made the row took effect and its answer was lost. */
  function resumeUnclear(id: string, limits: BucketLimits, own: HeldView) {
    const isNew = unclearCreates.delete(id);
    const tokens = isNew ? limits.burst : 0;
    return addBucket(id, own, limits, {tokens, lent: 0}, !isNew);
  }

  async function acquireRow(
    id: string,
    limits: BucketLimits,
    own: HeldView,
    row: BucketRow,
    tokens: number,
  ): Promise<Obtained> {
    const claimed = await table.replace(id, row.version, own.view.run);
    if (!claimed) return buildUnavailable(RETRY_MS);
    return addBucket(id, own, limits, {tokens, lent: 0}, true);
  }

  /** Sends the caller to who holds it, or claims it when all of them are over. */
  async function resolveRow(
    id: string,
    limits: BucketLimits,
    own: HeldView,
    row: BucketRow,
  ): Promise<Obtained> {
    const view = await table.findView(row.run);
    const others = (view?.members ?? []).filter(
      one => !isSelf(one.incarnation),
    );
    const live = others.filter(isLive);
    if (live.length > 0) return buildRedirect(id, live);
    if (!(await isOver(others))) return buildRedirect(id, others);
    takeovers.inc({way: 'table'});
    return acquireRow(id, limits, own, row, 0);
  }

  /** Also to members that no heartbeat has told of: the list lags. */
  function buildRedirect(id: string, to: readonly ViewMember[]): DrawReply {
    const addresses = to.map(({address}) => address);
    const reply: DrawReply = {kind: 'redirect', addresses};
    redirects.set(id, {reply, until: clock.now() + REDIRECT_LIFETIME_MS});
    return reply;
  }

  /** Whether none of them can hold anything any more. */
  async function isOver(others: readonly ViewMember[]): Promise<boolean> {
    if (!isStoreUp()) return false;
    for (const {incarnation} of others) {
      if (!(await observer.checkOver(incarnation, clock.now()))) return false;
    }
    return true;
  }

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

  function removeLostView() {
    const own = ownView.get();
    if (!own?.right.isLost) return;
    buckets.removeView(own.view.run);
    ownView.clear();
  }

  function setReserves() {
    const own = ownView.get();
    if (!own || own.view.members.length === 1) return;
    const now = clock.now();
    for (const {ledger, lowering, views} of buckets.list()) {
      if (lowering || views[0].view.run !== own.view.run) continue;
      const {tokens} = ledger.readLevel(now);
      const target = Math.floor(tokens * RESERVE_SHARE);
      if (target > ledger.reserved)
        ledger.reserve(target - ledger.reserved, now);
    }
  }

  async function replaceView() {
    if (!isStoreUp()) return;
    if (ownView.isOutdated() && (await ownView.own())) ownView.clear();
    const isNeeded = buckets.list().length > 0;
    if (!ownView.get() && isNeeded) await ownView.create();
  }

  /**
   * While the write that moves a bucket is unclear, either view may be in the
   * table: the bucket then needs the right of both.
   */
  async function placeBucket(bucket: HeldBucket, to: HeldView) {
    const row = await table.find(bucket.id);
    const runs = [...bucket.views.map(({view}) => view.run), to.view.run];
    if (!row || !runs.includes(row.run)) return void buckets.remove(bucket.id);
    if (row.run !== to.view.run) {
      bucket.views = [...new Set([...bucket.views, to])];
      const moved = await table.replace(bucket.id, row.version, to.view.run);
      if (!moved) return;
    }
    bucket.views = [to];
  }

  async function placeBuckets() {
    const own = ownView.get();
    if (!own || own.right.isLost || !isStoreUp()) return;
    const moving = buckets
      .list()
      .filter(({views}) => views.some(({view}) => view.run !== own.view.run));
    for (const bucket of moving.slice(0, MOVES_PER_ROUND)) {
      await placeBucket(bucket, own);
    }
  }

  function listOwn(): HeldBucket[] {
    const run = ownView.get()?.view.run;
    return buckets.list().filter(({views}) => views[0].view.run === run);
  }

  async function releaseView(own: HeldView) {
    const now = clock.now();
    const input = {
      view: own.view,
      owned: own.right.isOwned,
      buckets: listOwn().map(({id, ledger, limits}) => ({
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
    handOver({view, to, owned, buckets: given}: HandOverInput) {
      resetIfLeaseLost();
      if (shutting || !isSelf(to) || adoptedRuns.has(view.run)) {
        return {accepted: false};
      }
      const record = standby.add(view);
      const {candidate} = record.vote;
      const isFree = candidate === undefined || candidate === to;
      if (!owned && !isFree) return {accepted: false};
      record.vote.concede(to);
      for (const {bucket} of given) record.buckets.set(bucket, 0);
      registerView(
        record,
        new Map(
          given.map(({bucket, tokens, lent}) => [bucket, {tokens, lent}]),
        ),
      );
      takeovers.inc({way: 'handover'});
      return {accepted: true};
    },
    async ensureHeld(id, limits) {
      resetIfLeaseLost();
      if (buckets.find(id)) return true;
      const reply = await acquireOnce(id, limits);
      return reply?.kind === 'redirect' || buckets.find(id) !== undefined;
    },
    async runRound() {
      resetIfLeaseLost();
      removeLostView();
      if (shutting) return;
      setReserves();
      await ownView.renew(listOwn());
      removeLostView();
      await replaceView();
      await placeBuckets();
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
      inherited: inherited.size,
      standby: standby.describe(now),
    }),
  };
}
