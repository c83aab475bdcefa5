/**
 * Periodic maintenance of the view and buckets that this instance holds. It
 * renews promises, sets reserves, replaces the view when a standby is lost, and
 * moves buckets to the new view.
 */
import type {Clock} from '../../common/clock.js';
import type {BucketTable} from './bucket_table.js';
import {MOVES_PER_ROUND, RESERVE_SHARE} from './constants.js';
import type {HeldBucket, HeldBuckets, HeldView} from './held_buckets.js';
import type {OwnView} from './own_view.js';

/** Maintains the view and the buckets of a holder. */
export interface ViewMaintenance {
  runRound(): Promise<void>;
  /** Lists the buckets of the current view. */
  listOwn(): HeldBucket[];
}

interface Dependencies {
  clock: Clock;
  table: BucketTable;
  buckets: HeldBuckets;
  ownView: OwnView;
  isStoreUp(): boolean;
}

/** Creates the maintenance of one holder's buckets. */
export function createViewMaintenance({
  clock,
  table,
  buckets,
  ownView,
  isStoreUp,
}: Dependencies): ViewMaintenance {
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
    for (const {ledger, isReleasingReserve, views} of buckets.list()) {
      if (isReleasingReserve || views[0].view.run !== own.view.run) continue;
      const {tokens} = ledger.readLevel(now);
      const target = Math.floor(tokens * RESERVE_SHARE);
      if (target > ledger.reserved)
        ledger.reserve(target - ledger.reserved, now);
    }
  }

  async function replaceView() {
    if (!isStoreUp()) return;
    if (ownView.isOutdated() && (await ownView.takeOwnership()))
      ownView.clear();
    const isNeeded = buckets.list().length > 0;
    if (!ownView.get() && isNeeded) await ownView.create();
  }

  /**
   * Moves a bucket to a view. Until the outcome of the write is known, either
   * view may be in the table, so that the bucket needs the right of both.
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

  return {
    listOwn,
    async runRound() {
      removeLostView();
      setReserves();
      await ownView.renew(listOwn());
      removeLostView();
      await replaceView();
      await placeBuckets();
    },
  };
}
