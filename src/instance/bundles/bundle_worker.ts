/**
 * The bundles that this instance works on, and the choice of the next item.
 * Bundles whose owner is gone are taken over by the live instance that ranks
 * first for them; a late commit of the owner before is refused by the store.
 */
import {waitFor, type Clock} from '../../common/clock.js';
import type {Log} from '../../common/log.js';
import type {Metrics} from '../../common/metrics.js';
import type {SharedTime} from '../../common/shared_time.js';
import type {StateSource} from '../../common/state_dump.js';
import type {CollectionWatch} from '../../stores/collections.js';
import {StoreError} from '../../stores/table_store.js';
import type {EntryDirectory} from '../members/entry_directory.js';
import type {Members} from '../members/members.js';
import type {RoutingTable} from '../routing/routing_table.js';
import {createBundleRun, type BundleRun} from './bundle_run.js';
import type {StoredBundle} from './bundle_rows.js';
import type {BundleStore} from './bundle_store.js';
import type {BundleItem} from './bundle_types.js';
import {
  BUNDLE_RETENTION_MS,
  BUNDLE_SHARDS,
  HANDOVER_MS,
  MAX_ACTIVE_ITEMS,
} from './constants.js';
import {createProgressKeeper, type BundleProgress} from './item_progress.js';
import type {ItemRunner} from './item_runner.js';
import {createOpenBundles} from './open_bundles.js';

/** Works on bundles. */
export interface BundleWorker extends StateSource {
  /** Begins work on a bundle that names this instance as its owner. */
  start(bundle: StoredBundle, items: readonly BundleItem[]): void;
  /** Stops work on a bundle that was ended. */
  stop(id: string): void;
  countOpenItems(): number;
  /** Ids of the open bundles of the fleet. */
  listOpen(): string[];
  /** Takes bundles over whose owner is gone; starts what may run. */
  poll(): Promise<void>;
  /** Deletes bundles past their retention, in the shards that rank here. */
  removeOld(): Promise<void>;
  /** Hands all bundles back, with what was done of them. */
  handOver(): Promise<void>;
}

/** What the worker works with. */
export interface BundleWorkerDependencies {
  clock: Clock;
  time: SharedTime;
  log: Log;
  metrics: Metrics;
  store: BundleStore;
  watch: CollectionWatch;
  routing: RoutingTable;
  members: Members;
  directory: EntryDirectory;
  runner: ItemRunner;
}

/** Follows the open bundles from now on. */
export function createBundleWorker({
  clock,
  time,
  log,
  metrics,
  store,
  watch,
  routing,
  members,
  directory,
  runner,
}: BundleWorkerDependencies): BundleWorker {
  const runs = new Map<string, BundleRun>();
  const adopting = new Set<string>();
  const progress = createProgressKeeper(store, log);
  const open = createOpenBundles({
    clock,
    watch,
    members,
    directory,
    onChange: stopLost,
  });
  let active = 0;
  let isStopping = false;
  const tries = metrics.createCounter(
    'bundle_item_tries_total',
    'Tries of items of bundles, by how they ended.',
    ['outcome'],
  );
  const adoptions = metrics.createCounter(
    'bundles_adopted_total',
    'Bundles taken over from an owner that was gone.',
  );

  /** Ended by its account, or taken over by another instance. */
  function stopLost() {
    for (const [id, run] of runs) {
      const epoch = open.getEpoch(id);
      if (epoch === undefined || epoch > run.epoch) run.stop();
    }
  }

  function addRun(run: BundleRun) {
    runs.get(run.id)?.stop();
    runs.set(run.id, run);
    startItems();
  }

  function createRun(
    bundle: StoredBundle,
    items: readonly BundleItem[],
    done?: BundleProgress,
  ): BundleRun {
    const run: BundleRun = createBundleRun(
      {
        clock,
        time,
        log,
        store,
        routing,
        onWork: startItems,
        onEnd() {
          if (runs.get(bundle.id) !== run) return;
          runs.delete(bundle.id);
        },
      },
      bundle,
      items,
      done,
    );
    return run;
  }

  /** The item whose bundle is due first. */
  function takeNextItem() {
    const now = clock.now();
    const ordered = [...runs.values()].sort((a, b) => a.dueAt - b.dueAt);
    for (const run of ordered) {
      const item = run.takeItem(now);
      if (item) return item;
    }
    return undefined;
  }

  function startItems() {
    while (!isStopping && active < MAX_ACTIVE_ITEMS) {
      const next = takeNextItem();
      if (!next) return;
      active++;
      void runner
        .run(next.task, next.signal)
        .then(
          outcome => {
            tries.inc({outcome: outcome.kind});
            next.finish(outcome);
          },
          (error: Error) => {
            log.error({item: next.task.item.id, err: error}, 'item run failed');
            next.finish({kind: 'interrupted', reason: error.message});
          },
        )
        .finally(() => {
          active--;
          startItems();
        });
    }
  }

  async function adopt(id: string) {
    const bundle = await store.find(id);
    if (!bundle || bundle.fields.state !== 'open') {
      open.remove(id);
      return;
    }
    const own = open.buildOwn(bundle.fields.epoch + 1);
    const taken = await store.changeOwner(bundle, own);
    if (!taken) return;
    open.note(id, own);
    const items = await store.fetchItems(taken);
    if (!items) {
      log.error({bundle: id}, 'the items of a bundle are missing');
      return;
    }
    const done = await progress.find(id);
    adoptions.inc();
    log.info({bundle: id, epoch: taken.fields.epoch}, 'bundle taken over');
    open.noteWorked(id);
    // Its account may have ended it while the items were read.
    if (open.getEpoch(id) !== own.epoch) return;
    addRun(createRun(taken, items, done));
  }

  async function adoptOrphan(id: string) {
    if (adopting.has(id)) return;
    adopting.add(id);
    try {
      await adopt(id);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      log.warn({bundle: id, err: error.message}, 'bundle not taken over yet');
    } finally {
      adopting.delete(id);
    }
  }

  async function handBack(run: BundleRun) {
    await run.settle();
    const done = run.exportProgress();
    run.stop();
    const bundle = await store.find(run.id);
    if (bundle?.fields.state !== 'open') return;
    if (bundle.fields.epoch !== run.epoch) return;
    await store.putProgress(run.id, done);
    const epoch = run.epoch + 1;
    await store.changeOwner(bundle, {owner: '', incarnation: '', epoch});
  }

  return {
    start(bundle, items) {
      if (isStopping) return;
      // Its row may reach this instance after news of other bundles.
      open.note(bundle.id, open.buildOwn(bundle.fields.epoch));
      addRun(createRun(bundle, items));
    },
    stop: id => runs.get(id)?.stop(),
    countOpenItems: () =>
      [...runs.values()].reduce((sum, run) => sum + run.countOpen(), 0),
    listOpen: open.listIds,
    async poll() {
      if (isStopping || !directory.isKnown() || !routing.getDocument()) return;
      const now = clock.now();
      for (const run of runs.values()) run.expire(now);
      await Promise.all([
        ...open.listOrphans(id => runs.has(id)).map(adoptOrphan),
        ...[...runs.values()].map(progress.keep),
      ]);
      startItems();
    },
    async removeOld() {
      const now = time.read();
      if (now === undefined) return;
      const before = now - BUNDLE_RETENTION_MS;
      for (let shard = 0; shard < BUNDLE_SHARDS; shard++) {
        if (!open.isResponsible(`shard ${shard}`)) continue;
        for (const bundle of await store.listOld(String(shard), before)) {
          await store.delete(bundle);
        }
      }
    },
    async handOver() {
      isStopping = true;
      const handed = Promise.allSettled([...runs.values()].map(handBack));
      await Promise.race([handed, waitFor(clock, HANDOVER_MS)]);
      for (const run of [...runs.values()]) run.stop();
    },
    describeState: () => ({
      open: open.count(),
      own: [...runs.keys()],
      active,
    }),
  };
}
