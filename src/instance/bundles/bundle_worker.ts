/**
 * The bundles that this instance works on, and the choice of the next item.
 * Bundles whose owner is gone are taken over by the live instance that ranks
 * first for them; a late commit of the owner before is refused by the store.
 */
import {z} from 'zod';
import {waitFor, type Clock} from '../../common/clock.js';
import type {Log} from '../../common/log.js';
import type {Metrics} from '../../common/metrics.js';
import type {StateSource} from '../../common/state_dump.js';
import type {CollectionWatch} from '../../stores/collections.js';
import {StoreError} from '../../stores/table_store.js';
import type {EntryDirectory} from '../members/entry_directory.js';
import type {Members} from '../members/members.js';
import type {RoutingTable} from '../routing/routing_table.js';
import {
  createBundleRun,
  type BundleRun,
  type ItemProgress,
} from './bundle_run.js';
import {
  decodeOwnerRow,
  OPEN_BUNDLES,
  type BundleStore,
  type StoredBundle,
} from './bundle_store.js';
import type {BundleItem, OwnerFields} from './bundle_types.js';
import {
  BUNDLE_RETENTION_MS,
  BUNDLE_SHARDS,
  HANDOVER_MS,
  MAX_ACTIVE_ITEMS,
  PROGRESS_EVENTS,
  UNWORKED_MS,
} from './constants.js';
import type {ItemRunner} from './item_runner.js';

const progressSchema = z.record(
  z.string(),
  z.object({
    lastId: z.string().optional(),
    pieces: z.array(z.string()),
    isWhole: z.boolean().optional(),
  }),
);

/** Works on bundles. */
export interface BundleWorker extends StateSource {
  /** Begins work on a bundle that names this instance as its owner. */
  start(bundle: StoredBundle, items: readonly BundleItem[]): void;
  /** Stops work on a bundle that was ended. */
  stop(id: string): void;
  countOpenItems(): number;
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
  log,
  metrics,
  store,
  watch,
  routing,
  members,
  directory,
  runner,
}: BundleWorkerDependencies): BundleWorker {
  const open = new Map<string, OwnerFields>();
  const runs = new Map<string, BundleRun>();
  const adopting = new Set<string>();
  /** Events of each run when its progress was last kept. */
  const keptEvents = new WeakMap<BundleRun, number>();
  /** Since when bundles that name this instance have no run here. */
  const unworkedSince = new Map<string, number>();
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

  watch.watch(OPEN_BUNDLES, {
    reset(rows) {
      open.clear();
      for (const row of rows) noteOpen(row.key.sort, decodeOwnerRow(row));
      stopLost();
    },
    change(changes) {
      for (const {key, row} of changes) {
        noteOpen(key.sort, row && decodeOwnerRow(row));
      }
      stopLost();
    },
  });

  /** News of an ownership that was followed by one made here comes late. */
  function noteOpen(id: string, owner: OwnerFields | undefined) {
    if (!owner) open.delete(id);
    else if (owner.epoch >= (open.get(id)?.epoch ?? 0)) open.set(id, owner);
  }

  function buildOwn(epoch: number): OwnerFields {
    const {name: owner, incarnation} = members.self;
    return {owner, incarnation, epoch};
  }

  function isOwn({owner, incarnation}: OwnerFields): boolean {
    const {self} = members;
    return owner === self.name && incarnation === self.incarnation;
  }

  /** Ended by its account, or taken over by another instance. */
  function stopLost() {
    for (const [id, run] of runs) {
      const epoch = open.get(id)?.epoch;
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
    progress?: z.infer<typeof progressSchema>,
  ): BundleRun {
    const run: BundleRun = createBundleRun(
      {
        clock,
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
      progress as Record<string, ItemProgress> | undefined,
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

  /**
   * A bundle that names this very run of the process but is not worked on: the
   * answer to the write that made it so was lost.
   */
  function isUnworked(id: string, now: number): boolean {
    const since = unworkedSince.get(id) ?? now;
    unworkedSince.set(id, since);
    return now - since >= UNWORKED_MS;
  }

  function isOwnerGone(id: string, owned: OwnerFields, now: number): boolean {
    const {owner, incarnation} = owned;
    if (isOwn(owned)) return isUnworked(id, now);
    unworkedSince.delete(id);
    if (owner === '' || owner === members.self.name) return true;
    const registered = directory.findIncarnation(owner);
    // Runs sort by their start. A run later than the registered one has only
    // not come to register yet: it accepts bundles from its first moment.
    if (registered === undefined || incarnation < registered) return true;
    const isLive = members.listLive().some(({name}) => name === owner);
    return !isLive && directory.hasMajority(members);
  }

  function isResponsible(id: string): boolean {
    return members.rankInstances(id)[0]?.name === members.self.name;
  }

  /** Without it the items begin anew, which costs less than waiting for it. */
  async function findProgress(id: string): Promise<string | undefined> {
    try {
      return await store.fetchProgress(id);
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      log.warn({bundle: id, err: error.message}, 'progress not read');
      return undefined;
    }
  }

  async function adopt(id: string) {
    const bundle = await store.find(id);
    if (!bundle || bundle.fields.state !== 'open') {
      open.delete(id);
      return;
    }
    const own = buildOwn(bundle.fields.epoch + 1);
    const taken = await store.changeOwner(bundle, own);
    if (!taken) return;
    noteOpen(id, own);
    const items = await store.fetchItems(taken);
    if (!items) {
      log.error({bundle: id}, 'the items of a bundle are missing');
      return;
    }
    const progress = await findProgress(id);
    adoptions.inc();
    log.info({bundle: id, epoch: taken.fields.epoch}, 'bundle taken over');
    unworkedSince.delete(id);
    // Its account may have ended it while the items were read.
    if (open.get(id)?.epoch !== own.epoch) return;
    addRun(createRun(taken, items, decodeProgress(progress)));
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

  /**
   * When all instances die at once, what items have so far is in memory only:
   * every item that ran would begin anew, and be late. Kept now and then, at
   * most PROGRESS_EVENTS of each are made again.
   */
  async function keepProgress(run: BundleRun) {
    const events = run.countEvents();
    const kept = keptEvents.get(run) ?? 0;
    if (Math.abs(events - kept) < PROGRESS_EVENTS) return;
    keptEvents.set(run, events);
    try {
      await store.putProgress(run.id, run.exportProgress());
    } catch (error) {
      if (!(error instanceof StoreError)) throw error;
      log.warn({bundle: run.id, err: error.message}, 'progress not kept');
    }
  }

  async function handBack(run: BundleRun) {
    await run.settle();
    const progress = run.exportProgress();
    run.stop();
    const bundle = await store.find(run.id);
    if (bundle?.fields.state !== 'open') return;
    if (bundle.fields.epoch !== run.epoch) return;
    await store.putProgress(run.id, progress);
    const epoch = run.epoch + 1;
    await store.changeOwner(bundle, {owner: '', incarnation: '', epoch});
  }

  return {
    start(bundle, items) {
      if (isStopping) return;
      // Its row may reach this instance after news of other bundles.
      noteOpen(bundle.id, buildOwn(bundle.fields.epoch));
      addRun(createRun(bundle, items));
    },
    stop: id => runs.get(id)?.stop(),
    countOpenItems: () =>
      [...runs.values()].reduce((sum, run) => sum + run.countOpen(), 0),
    async poll() {
      if (isStopping || !directory.isKnown() || !routing.getDocument()) return;
      const now = clock.now();
      for (const run of runs.values()) run.expire(now);
      const orphans = [...open].filter(
        ([id, owner]) =>
          !runs.has(id) &&
          isOwnerGone(id, owner, now) &&
          (isOwn(owner) || isResponsible(id)),
      );
      await Promise.all([
        ...orphans.map(([id]) => adoptOrphan(id)),
        ...[...runs.values()].map(keepProgress),
      ]);
      startItems();
    },
    async removeOld() {
      const before = clock.wallNow() - BUNDLE_RETENTION_MS;
      for (let shard = 0; shard < BUNDLE_SHARDS; shard++) {
        if (!isResponsible(`shard ${shard}`)) continue;
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
      open: open.size,
      own: [...runs.keys()],
      active,
    }),
  };
}

/** What the owner before did; a part that cannot be read is done again. */
function decodeProgress(text: string | undefined) {
  if (text === undefined) return undefined;
  try {
    return progressSchema.parse(JSON.parse(text));
  } catch {
    return undefined;
  }
}
