/**
 * Runs the items of the bundles that this instance owns, the bundle that is due
 * first before the others. When the owner of a bundle is gone, the live
 * instance that ranks first for the bundle takes it over. The store refuses a
 * late commit of the earlier owner.
 */
import {waitFor, type Clock} from '../../common/clock.js';
import {groupBy} from '../../common/collections.js';
import type {Log} from '../../common/log.js';
import type {Metrics} from '../../common/metrics.js';
import type {SharedTime} from '../../common/shared_time.js';
import type {StateSource} from '../../common/state_dump.js';
import type {CollectionWatch} from '../../stores/collections.js';
import {
  createItemProbation,
  PROBATION_PAUSE_MS,
  type ProbationRun,
} from '../../decisions/item_probation.js';
import {StoreError} from '../../stores/table_store.js';
import type {EntryDirectory} from '../members/entry_directory.js';
import type {Members} from '../members/members.js';
import type {RoutingTable} from '../routing/routing_table.js';
import {
  createBundleRun,
  type BundleRun,
  type RunnableItem,
} from './bundle_run.js';
import type {StoredBundle} from './bundle_rows.js';
import type {BundleStore} from './bundle_store.js';
import type {BundleItem} from './bundle_types.js';
import {
  BUNDLE_RETENTION_MS,
  BUNDLE_SHARDS,
  HANDOVER_TIMEOUT_MS,
  MAX_ACTIVE_ITEMS,
  UNCLEAR_RETENTION_MS,
  UNCLEAR_CHECK_DELAY_MS,
} from './constants.js';
import {createProgressStore, type BundleProgress} from './item_progress.js';
import {isFruitless, type ItemOutcome, type ItemRunner} from './item_runner.js';
import {
  MAX_ORPHANS_PER_MESSAGE,
  type BundlePeers,
  type OrphanNotice,
} from './bundle_peers.js';
import {createOpenBundles, type Orphan} from './open_bundles.js';

/** Runs the items of the bundles that this instance owns. */
export interface BundleWorker extends StateSource {
  /** Starts a bundle that names this instance as its owner. */
  start(bundle: StoredBundle, items: readonly BundleItem[]): void;
  /** Stops a bundle that was ended. */
  stop(id: string): void;
  /** Stops a bundle on the instance that owns it. */
  stopOwner(id: string, owner: string): void;
  /** Notes that a bundle may have been created, to check it later. */
  noteUnclear(id: string): void;
  countOpenItems(): number;
  /** Takes over bundles whose owner is gone according to a watcher. */
  adopt(orphans: readonly OrphanNotice[]): void;
  /**
   * Has bundles without a live owner taken over, expires items, confirms and
   * stores the state of its own bundles, and starts items that may run.
   */
  poll(): Promise<void>;
  /**
   * Deletes bundles past their retention, in the shards for which this instance
   * ranks first.
   */
  deleteExpired(): Promise<void>;
  /** Stores the progress of all bundles and releases them to other owners. */
  handOver(): Promise<void>;
}

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

/** A bundle of which it is unclear whether this instance owns it; monotonic times. */
interface UnclearOwnership {
  /** Time from which the store is asked. */
  checkAt: number;
  /** Time after which no write of this instance may still take effect. */
  clearAfter: number;
}

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
  const progress = createProgressStore(store, log);
  const open = createOpenBundles({watch, members, directory});
  /** Bundles that may have this instance as their owner, by bundle id. */
  const unclear = new Map<string, UnclearOwnership>();
  const probation = createItemProbation();
  let active = 0;
  let isStopping = false;
  const attempts = metrics.createCounter(
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

  /** Takes the next item of the bundle that is due first. */
  function takeNextItem() {
    const now = clock.now();
    const ordered = [...runs.values()].sort((a, b) => a.dueAt - b.dueAt);
    for (const run of ordered) {
      const item = run.takeItem(now, probation.mayStart(now));
      if (item) return item;
    }
    return undefined;
  }

  function startItems() {
    while (!isStopping && active < MAX_ACTIVE_ITEMS) {
      const next = takeNextItem();
      if (!next) return;
      active++;
      void runItem(next).finally(() => {
        active--;
        startItems();
      });
    }
  }

  async function runItem({task, signal, isOnProbation, finish}: RunnableItem) {
    const probationRun = isOnProbation ? probation.startRun() : undefined;
    const outcome = await runner
      .run({...task, onFirstEvent: () => noteEvent(probationRun)}, signal)
      .catch((error: Error): ItemOutcome => {
        log.error(
          {item: task.item.id, err: error},
          'run of an item threw an unexpected error',
        );
        return {kind: 'interrupted', reason: error.message};
      });
    attempts.inc({outcome: outcome.kind});
    probationRun?.end(!isFruitless(outcome), clock.now());
    finish(outcome);
    if (probationRun) clock.schedule(PROBATION_PAUSE_MS, startItems);
  }

  function noteEvent(probationRun: ProbationRun | undefined) {
    probationRun?.noteEvent();
    if (probationRun) startItems();
  }

  async function adopt(bundle: StoredBundle) {
    const {id} = bundle;
    // Read before the bundle is taken over, because this read may fail for longer.
    const items = await store.fetchItems(bundle);
    if (!items) {
      log.error(
        {bundle: id},
        'bundle not taken over: its items are missing in the store',
      );
      return;
    }
    const own = open.buildOwnership(bundle.fields.epoch + 1);
    const taken = await store.changeOwner(bundle, own);
    if (!taken) return;
    const done = await progress.find(id);
    adoptions.inc();
    log.info({bundle: id, epoch: taken.fields.epoch}, 'bundle taken over');
    // Its account may have ended the bundle while the progress was read.
    const current = await store.find(id);
    if (current?.version !== taken.version) return;
    addRun(createRun(taken, items, done));
  }

  /**
   * The notice may be outdated: another instance may have taken the bundle
   * over.
   */
  async function adoptOrphan({id, epoch}: OrphanNotice) {
    const bundle = await store.find(id);
    const isOrphan =
      bundle?.fields.state === 'open' && bundle.fields.epoch === epoch;
    if (isOrphan) await adopt(bundle);
  }

  /**
   * Adopts a bundle if a write without a response has made this instance its owner. No
   * other instance would do so, because its owner is live. Only what a read shows ends
   * the checks, however long the store does not respond.
   */
  async function adoptUnclear(id: string, {clearAfter}: UnclearOwnership) {
    const startedAt = clock.now();
    const bundle = await store.find(id);
    const isOpen = bundle?.fields.state === 'open';
    const owner = isOpen ? await store.findOwner(id) : undefined;
    const isOwn = owner !== undefined && open.isOwn(owner);
    if (bundle && isOwn) await adopt(bundle);
    const isClosed = bundle && !isOpen;
    const isFinal = isClosed || (!isOwn && startedAt > clearAfter);
    if (isFinal || runs.has(id)) unclear.delete(id);
    else if (bundle && !isOwn) {
      const checkAt = startedAt + UNCLEAR_CHECK_DELAY_MS;
      unclear.set(id, {checkAt, clearAfter});
    }
  }

  /** A bundle whose rows cannot be read must not end the process or hold up others. */
  function noteFailedStep(id: string, error: Error) {
    if (!(error instanceof StoreError)) {
      log.error({bundle: id, err: error}, 'bundle not taken over');
      return;
    }
    log.warn(
      {bundle: id, err: error.message},
      'takeover of the bundle failed at the store; will be retried',
    );
    noteUnclear(id);
  }

  /** Runs one step at a time for each bundle, and none for a running bundle. */
  async function adoptOnce(id: string, step: () => Promise<void>) {
    if (adopting.has(id) || runs.has(id)) return;
    adopting.add(id);
    try {
      await step();
    } catch (error) {
      noteFailedStep(id, error as Error);
    } finally {
      adopting.delete(id);
    }
  }

  function noteUnclear(id: string) {
    const now = clock.now();
    const {checkAt = now + UNCLEAR_CHECK_DELAY_MS} = unclear.get(id) ?? {};
    unclear.set(id, {checkAt, clearAfter: now + UNCLEAR_RETENTION_MS});
  }

  function adoptAll(orphans: readonly OrphanNotice[]): Promise<void[]> {
    if (isStopping) return Promise.resolve([]);
    return Promise.all(
      orphans.map(each => adoptOnce(each.id, () => adoptOrphan(each))),
    );
  }

  /** A write without a response may still take effect some seconds later. */
  function resolveUnclear(now: number): Promise<void[]> {
    const steps: Promise<void>[] = [];
    for (const [id, ownership] of unclear) {
      if (runs.has(id)) unclear.delete(id);
      else if (now >= ownership.checkAt)
        steps.push(adoptOnce(id, () => adoptUnclear(id, ownership)));
    }
    return Promise.all(steps);
  }

  /**
   * Takes over the bundles of this instance and notifies the other successors.
   */
  async function assignOrphans(now: number) {
    open.refresh();
    const orphans = open.listOrphans(now);
    const bySuccessor = groupBy(orphans, ({successor}) => successor);
    for (const [successor, assigned] of bySuccessor) {
      const notices = assigned.slice(0, MAX_ORPHANS_PER_MESSAGE).map(toNotice);
      if (successor.name === members.self.name) await adoptAll(notices);
      else peers.sendOrphans(successor.address, notices);
    }
  }

  async function releaseBundle(run: BundleRun) {
    await run.settle();
    const done = run.exportProgress();
    run.stop();
    const bundle = await store.find(run.id);
    if (bundle?.fields.state !== 'open') return;
    if (bundle.fields.epoch !== run.epoch) return;
    await progress.put(run.id, done);
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
      for (const run of runs.values()) {
        run.expire(now);
        run.reportOverdue(now);
      }
      await Promise.all([
        assignOrphans(now),
        resolveUnclear(now),
        ...[...runs.values()].map(run => run.confirm(now)),
        ...[...runs.values()].map(progress.save),
      ]);
      startItems();
    },
    async deleteExpired() {
      const now = time.read();
      if (now === undefined) return;
      const before = now - BUNDLE_RETENTION_MS;
      for (let shard = 0; shard < BUNDLE_SHARDS; shard++) {
        const [first] = members.rankInstances(`shard ${shard}`);
        if (first?.name !== members.self.name) continue;
        for (const bundle of await store.listExpired(String(shard), before)) {
          await store.delete(bundle);
        }
      }
    },
    async handOver() {
      isStopping = true;
      const handed = Promise.allSettled([...runs.values()].map(releaseBundle));
      await Promise.race([handed, waitFor(clock, HANDOVER_TIMEOUT_MS)]);
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
