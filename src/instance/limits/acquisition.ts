/**
 * Acquires buckets for this instance: by taking over a view as its standby, by
 * being the first to write a bucket's row, or by claiming the row of a view
 * whose members have all ended.
 */
import type {Counter} from 'prom-client';
import type {Clock} from '../../common/clock.js';
import type {BucketLevel, BucketLimits} from '../../decisions/rate_bucket.js';
import type {ViewMember} from '../../decisions/rate_view.js';
import type {LeaseObserver} from '../members/instance_lease.js';
import type {BucketRow, BucketTable} from './bucket_table.js';
import {REDIRECT_LIFETIME_MS, RETRY_MS, STORE_RETRY_MS} from './constants.js';
import type {HeldBuckets, HeldView} from './held_buckets.js';
import {buildUnavailable, type DrawReply} from './limit_messages.js';
import type {OwnView} from './own_view.js';
import type {Standby} from './standby.js';
import type {Takeovers} from './takeovers.js';

/** Acquires buckets. */
export interface Acquisition {
  /** Undefined when the bucket is now held here, else the reply to a draw. */
  acquire(bucket: string, limits: BucketLimits): Promise<DrawReply | undefined>;
  /** Returns the cached redirect to a bucket's holder. */
  findRedirect(bucket: string): DrawReply | undefined;
  /** Forgets row creations with unknown outcome. */
  clear(): void;
}

interface Dependencies {
  clock: Clock;
  table: BucketTable;
  buckets: HeldBuckets;
  standby: Standby;
  ownView: OwnView;
  takeovers: Takeovers;
  observer: LeaseObserver;
  counter: Counter;
  isSelf(incarnation: string): boolean;
  isLive(member: ViewMember): boolean;
  isStoreUp(): boolean;
  /** Whether this instance may act as the owner of buckets now. */
  mayAct(): boolean;
}

type AcquireResult = DrawReply | undefined;

const EMPTY: BucketLevel = {tokens: 0, lent: 0};

/** Creates an acquisition without cached redirects. */
export function createAcquisition({
  clock,
  table,
  buckets,
  standby,
  ownView,
  takeovers,
  observer,
  counter,
  isSelf,
  isLive,
  isStoreUp,
  mayAct,
}: Dependencies): Acquisition {
  const acquiring = new Map<string, Promise<AcquireResult>>();
  const redirects = new Map<string, {reply: DrawReply; until: number}>();
  const unclearCreates = new Set<string>();

  /** Adds a bucket, unless its view was lost while the store was accessed. */
  function addBucket(
    id: string,
    view: HeldView,
    limits: BucketLimits,
    level: BucketLevel,
    isTakeover: boolean,
  ): AcquireResult {
    takeovers.removeInherited(id);
    if (view.right.isLost) return buildUnavailable(RETRY_MS);
    buckets.add(id, view, limits, level, isTakeover, clock.now());
    return undefined;
  }

  async function acquireBucket(
    id: string,
    limits: BucketLimits,
  ): Promise<AcquireResult> {
    if (!mayAct()) return buildUnavailable(RETRY_MS);
    for (const record of standby.listByBucket(id)) {
      const reply = await takeovers.takeOver(record);
      if (reply) return reply;
      if (takeovers.findInherited(id)) break;
    }
    const inherited = takeovers.findInherited(id);
    if (inherited)
      return addBucket(id, inherited.view, limits, inherited.level, true);
    return acquireFromTable(id, limits);
  }

  async function acquireFromTable(
    id: string,
    limits: BucketLimits,
  ): Promise<AcquireResult> {
    const own = ownView.get() ?? (await ownView.create());
    const row = await table.find(id);
    if (!own || own.right.isLost) return buildUnavailable(RETRY_MS);
    if (!row) return createRow(id, limits, own);
    if (row.run === '') return acquireRow(id, limits, own, row, row.tokens);
    if (row.run === own.view.run) return resumeUnclear(id, limits, own);
    const adopted = takeovers.findView(row.run);
    if (adopted) return addBucket(id, adopted, limits, EMPTY, true);
    return resolveRow(id, limits, own, row);
  }

  async function createRow(
    id: string,
    limits: BucketLimits,
    own: HeldView,
  ): Promise<AcquireResult> {
    unclearCreates.add(id);
    const created = await table.replace(id, 0, own.view.run);
    unclearCreates.delete(id);
    if (!created) return buildUnavailable(RETRY_MS);
    const level = {tokens: limits.burst, lent: 0};
    return addBucket(id, own, limits, level, false);
  }

  /** Adds a bucket whose row this view wrote although the response was lost. */
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
  ): Promise<AcquireResult> {
    const claimed = await table.replace(id, row.version, own.view.run);
    if (!claimed) return buildUnavailable(RETRY_MS);
    return addBucket(id, own, limits, {tokens, lent: 0}, true);
  }

  /** Redirects to the members of the row's view, or claims the row. */
  async function resolveRow(
    id: string,
    limits: BucketLimits,
    own: HeldView,
    row: BucketRow,
  ): Promise<AcquireResult> {
    const view = await table.findView(row.run);
    const others = (view?.members ?? []).filter(
      one => !isSelf(one.incarnation),
    );
    const live = others.filter(isLive);
    if (live.length > 0) return buildRedirect(id, live);
    if (!(await hasEnded(others))) return buildRedirect(id, others);
    counter.inc({way: 'table'});
    return acquireRow(id, limits, own, row, 0);
  }

  /**
   * Builds and caches a redirect, also to members of which no heartbeat has
   * arrived yet, because the member list lags.
   */
  function buildRedirect(id: string, to: readonly ViewMember[]): DrawReply {
    const addresses = to.map(({address}) => address);
    const reply: DrawReply = {kind: 'redirect', addresses};
    redirects.set(id, {reply, until: clock.now() + REDIRECT_LIFETIME_MS});
    return reply;
  }

  /** Whether none of the incarnations can hold a bucket any more. */
  async function hasEnded(others: readonly ViewMember[]): Promise<boolean> {
    if (!isStoreUp()) return false;
    for (const {incarnation} of others) {
      if (!(await observer.checkExpired(incarnation, clock.now())))
        return false;
    }
    return true;
  }

  return {
    acquire(id, limits) {
      const running = acquiring.get(id);
      if (running) return running;
      const started = acquireBucket(id, limits)
        .catch(() => buildUnavailable(STORE_RETRY_MS))
        .finally(() => acquiring.delete(id));
      acquiring.set(id, started);
      return started;
    },
    findRedirect(id) {
      const known = redirects.get(id);
      if (known && clock.now() < known.until) return known.reply;
      redirects.delete(id);
      return undefined;
    },
    clear: () => unclearCreates.clear(),
  };
}
