/**
 * The bundles that this instance works on, and the choice of the next item.
 * Bundles whose owner is gone are taken over by the live instance that ranks
 * first for them; a late commit of the owner before is refused by the store.
 */
import {waitFor, type Clock} from '../../common/clock.js';
import {groupBy} from '../../common/collections.js';
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
  UNCLEAR_MEMORY_MS,
  UNWORKED_MS,
} from './constants.js';
import {createProgressKeeper, type BundleProgress} from './item_progress.js';
import type {ItemRunner} from './item_runner.js';
import {
  MAX_ORPHANS_TOLD,
  type BundlePeers,
  type OrphanNotice,
} from './bundle_peers.js';
import {createOpenBundles, type Orphan} from './open_bundles.js';

/** Works on bundles. */
export interface BundleWorker extends StateSource {
  /** Begins work on a bundle that names this instance as its owner. */
  start(bundle: StoredBundle, items: readonly BundleItem[]): void;
  /** Stops work on a bundle that was ended. */
  stop(id: string): void;
  /** Has whoever works on a bundle stop. */
  stopOwner(id: string, owner: string): void;
  /** Whether a bundle of this instance was made is not known: looks later. */
  noteUnclear(id: string): void;
  countOpenItems(): number;
  /** Takes bundles over whose owner is gone, as a watcher says. */
  adopt(orphans: readonly OrphanNotice[]): void;
  /** Has bundles taken over whose owner is gone; starts what may run. */
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
  peers: BundlePeers;
}

/** Starts without bundles. */
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
  peers,
}: BundleWorkerDependencies): BundleWorker {
  const runs = new Map<string, BundleRun>();
  const adopting = new Set<string>();
  const progress = createProgressKeeper(store, log);
  const open = createOpenBundles({watch, members, directory});
  /** Bundles that may name this run without its knowledge, and since when. */
  const unclearSince = new Map<string, number>();
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

  async function adopt(bundle: StoredBundle) {
    const {id} = bundle;
    const own = open.buildOwn(bundle.fields.epoch + 1);
    const taken = await store.changeOwner(bundle, own);
    if (!taken) return;
    const items = await store.fetchItems(taken);
    if (!items) {
      log.error({bundle: id}, 'the items of a bundle are missing');
      return;
    }
    const done = await progress.find(id);
    adoptions.inc();
    log.info({bundle: id, epoch: taken.fields.epoch}, 'bundle taken over');
    // Its account may have ended it while the items were read.
    const current = await store.find(id);
    if (current?.version !== taken.version) return;
    addRun(createRun(taken, items, done));
  }

  /** A watcher's word may be old: by then another may have taken it over. */
  async function adoptOrphan({id, epoch}: OrphanNotice) {
    const bundle = await store.find(id);
    const isOrphan =
      bundle?.fields.state === 'open' && bundle.fields.epoch === epoch;
    if (isOrphan) await adopt(bundle);
  }

  /** The answer to the write that made it this instance's was lost. */
  async function adoptUnclear(id: string) {
    const bundle = await store.find(id);
    if (!bundle) return;
    const owner = await store.findOwner(id);
    const isOpen = bundle.fields.state === 'open';
    if (isOpen && owner && open.isOwn(owner)) await adopt(bundle);
    unclearSince.delete(id);
  }

  /** One step at a time for each bundle, and none for what is worked on. */
  async function adoptOnce(id: string, step: () => Promise<void>) {
    if (adopting.has(id) || runs.has(id)) return;
    adopting.add(id);
    try {
      await step();
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      log.warn({bundle: id, err: error.message}, 'bundle not taken over yet');
      noteUnclear(id);
    } finally {
      adopting.delete(id);
    }
  }

  function noteUnclear(id: string) {
    if (!unclearSince.has(id)) unclearSince.set(id, clock.now());
  }

  function adoptAll(orphans: readonly OrphanNotice[]): Promise<void[]> {
    if (isStopping) return Promise.resolve([]);
    return Promise.all(
      orphans.map(each => adoptOnce(each.id, () => adoptOrphan(each))),
    );
  }

  /** A write without an answer may still take effect some seconds later. */
  function resolveUnclear(now: number): Promise<void[]> {
    const steps: Promise<void>[] = [];
    for (const [id, since] of unclearSince) {
      if (runs.has(id) || now - since > UNCLEAR_MEMORY_MS) {
        unclearSince.delete(id);
      } else if (now - since >= UNWORKED_MS) {
        steps.push(adoptOnce(id, () => adoptUnclear(id)));
      }
    }
    return Promise.all(steps);
  }

  /** This instance's own are taken over here, the others by their heirs. */
  async function handOutOrphans() {
    open.refresh();
    const byHeir = groupBy(open.listOrphans(), ({heir}) => heir);
    for (const [heir, orphans] of byHeir) {
      const told = orphans.slice(0, MAX_ORPHANS_TOLD).map(toNotice);
      if (heir.name === members.self.name) await adoptAll(told);
      else peers.sendOrphans(heir.address, told);
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
      addRun(createRun(bundle, items));
    },
    stop: id => runs.get(id)?.stop(),
    stopOwner(id, owner) {
      runs.get(id)?.stop();
      const other =
        owner === members.self.name ? undefined : members.find(owner);
      if (other) peers.sendEnded(other.address, id);
    },
    noteUnclear,
    adopt: orphans => void adoptAll(orphans),
    countOpenItems: () =>
      [...runs.values()].reduce((sum, run) => sum + run.countOpen(), 0),
    async poll() {
      if (isStopping || !directory.isKnown() || !routing.getDocument()) return;
      const now = clock.now();
      for (const run of runs.values()) run.expire(now);
      await Promise.all([
        handOutOrphans(),
        resolveUnclear(now),
        ...[...runs.values()].map(run => run.confirm(now)),
        ...[...runs.values()].map(progress.keep),
      ]);
      startItems();
    },
    async removeOld() {
      const now = time.read();
      if (now === undefined) return;
      const before = now - BUNDLE_RETENTION_MS;
      for (let shard = 0; shard < BUNDLE_SHARDS; shard++) {
        const [first] = members.rankInstances(`shard ${shard}`);
        if (first?.name !== members.self.name) continue;
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

function toNotice({id, epoch}: Orphan): OrphanNotice {
  return {id, epoch};
}
