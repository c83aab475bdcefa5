/**
 * Works the open jobs of one service: finds them, claims segments, takes over
 * those whose owner is gone, and ends jobs whose results are whole.
 */
import type {Clock} from '../../common/clock.js';
import {hashText} from '../../common/ids.js';
import type {Platform} from '../../stores/platform.js';
import {StoreError} from '../../stores/table_store.js';
import {
  createSegmentOrder,
  type JobCandidate,
} from '../../decisions/segment_order.js';
import {
  SEGMENT_ITEMS,
  SEGMENTS_REFRESH_MS,
  URGENT_CREDIT_ITEMS,
  WORK_POLL_MS,
} from './constants.js';
import {summarizeSegments} from './job_output.js';
import type {JobStore} from './job_store.js';
import {
  countRemainingItems,
  createJobView,
  findOpenSegment,
  isWhole,
  listForeignSegments,
  updateView,
  type JobView,
} from './job_view.js';
import type {Ownership} from './ownership.js';
import {
  buildWorkPartition,
  parseRow,
  workRecordSchema,
  type SegmentRecord,
} from './records.js';
import {
  createSegmentLauncher,
  type SegmentLauncherDependencies,
} from './segment_launcher.js';
import type {SegmentEnd} from './segment_runner.js';

/** Judges whether an owner is gone for good; see LeaseObserver. */
export type OwnerCheck = (incarnation: string, now: number) => Promise<boolean>;

/** What a worker works with. */
export interface ServiceWorkerDependencies extends SegmentLauncherDependencies {
  clock: Clock;
  platform: Platform;
  jobs: JobStore;
  checkOwnerOver: OwnerCheck;
  /** Undefined while the lease may not be used. */
  findOwnership: () => Ownership | undefined;
  /** Spreads instances over the segments of a job. */
  incarnation: string;
}

/** The worker of one service on this instance. */
export interface ServiceWorker {
  /** Looks for jobs and ended ones; throws StoreError without an answer. */
  poll(now: number): Promise<void>;
  /** Claims segments while there is room; throws StoreError. */
  acquireSegments(): Promise<void>;
  /** Whether segments are under way. */
  isRunning(): boolean;
  /** Resolves when every segment under way has ended. */
  awaitIdle(): Promise<void>;
  describeState(): object;
}

/** Starts without jobs; `poll` finds them. */
export function createServiceWorker(
  service: string,
  dependencies: ServiceWorkerDependencies,
): ServiceWorker {
  const {clock, platform, configuration, jobs, segments, metrics} =
    dependencies;
  const views = new Map<string, JobView>();
  const order = createSegmentOrder(URGENT_CREDIT_ITEMS);
  const launcher = createSegmentLauncher(service, dependencies, {
    onRoom: () => void runQuietly(acquireSegments),
    onEnd: handleEnd,
  });
  let polledAt = -Infinity;
  let isFilling = false;

  async function readWork() {
    const rows = await platform.table.query(buildWorkPartition(service));
    const open = new Set<string>();
    for (const row of rows) {
      const {id, record} = parseRow(row, workRecordSchema);
      open.add(id);
      if (!views.has(id)) {
        views.set(id, createJobView(id, record, chooseStart(id)));
      }
    }
    for (const job of [...views.values()]) {
      if (!open.has(job.id)) closeView(job);
    }
  }

  /** Instances start at different segments, so that few claims collide. */
  function chooseStart(jobId: string): number {
    const digest = hashText(`${dependencies.incarnation}\n${jobId}`);
    return parseInt(digest.slice(0, 8), 16);
  }

  /** The job has ended: what runs of it stops. */
  function closeView(job: JobView) {
    views.delete(job.id);
    job.ended.abort();
  }

  async function updateJob(job: JobView, now: number) {
    const isOthers =
      listForeignSegments(job).length > 0 ||
      job.segments.size < job.work.segments;
    const isDue = isOthers && now - job.refreshedAt >= SEGMENTS_REFRESH_MS;
    if (!job.isStale && !isDue) return;
    updateView(job, await segments.query(job.id), now);
  }

  /** A segment that is done stays as it is, so the view can be trusted. */
  async function finishJob(job: JobView) {
    const summary = summarizeSegments(job.segments);
    const {account} = job.work;
    const {completed, failed, bytes} = summary;
    const ended = await jobs.finish(
      account,
      job.id,
      {state: 'completed', completed, failed, outputBytes: bytes},
      clock.wallNow(),
    );
    metrics.countJob(ended.record.state);
    closeView(job);
  }

  /** The last instance to end a segment looks at once whether all are done. */
  function handleEnd(job: JobView, end: SegmentEnd) {
    const isLast = job.running.size === 0 && findOpenSegment(job) === undefined;
    if (end === 'lost' || isLast) job.isStale = true;
    if (end === 'done' && isWhole(job)) void runQuietly(() => finishJob(job));
    void runQuietly(acquireSegments);
  }

  /** Between polls; what the store does not answer is met again by the next. */
  async function runQuietly(task: () => Promise<void>) {
    try {
      await task();
    } catch (thrown) {
      if (!(thrown instanceof StoreError)) throw thrown;
      metrics.countStoreFailure();
    }
  }

  function findWeight(account: string): number {
    const document = configuration.find(service)?.document;
    return document?.account[account]?.weight ?? 1;
  }

  function listCandidates(): JobCandidate[] {
    return [...views.values()]
      .filter(job => !job.isStale && findOpenSegment(job) !== undefined)
      .map(job => ({
        jobId: job.id,
        account: job.work.account,
        weight: findWeight(job.work.account),
        dueAt: job.work.dueAt,
        createdAt: job.work.createdAt,
        remainingItems: countRemainingItems(job),
      }));
  }

  async function acquireNext(ownership: Ownership): Promise<boolean> {
    const candidates = listCandidates();
    if (candidates.length === 0) return false;
    const chosen = order.chooseJob(candidates, clock.wallNow());
    const job = chosen && views.get(chosen.jobId);
    const index = job && findOpenSegment(job);
    if (!job || index === undefined) return false;
    if (!(await launcher.acquire(job, index, ownership))) return true;
    order.noteClaimed(chosen.account, SEGMENT_ITEMS, chosen.weight);
    return true;
  }

  async function acquireSegments() {
    if (isFilling) return;
    isFilling = true;
    try {
      while (launcher.hasRoom() && !dependencies.drain.aborted) {
        const ownership = dependencies.findOwnership();
        if (!ownership || !(await acquireNext(ownership))) return;
      }
    } finally {
      isFilling = false;
    }
  }

  /** One's own segment that one does not work was claimed without an answer. */
  async function isOwnerOver(
    record: SegmentRecord,
    ownership: Ownership,
    now: number,
  ): Promise<boolean> {
    if (record.owner === ownership.incarnation) return true;
    return dependencies.checkOwnerOver(record.owner, now);
  }

  async function takeOverSegments(job: JobView, now: number) {
    for (const [index, {record}] of listForeignSegments(job)) {
      const ownership = dependencies.findOwnership();
      if (!ownership || dependencies.drain.aborted || !launcher.hasRoom())
        return;
      const isOver = await isOwnerOver(record, ownership, now);
      if (!isOver || job.running.has(index)) continue;
      await launcher.acquire(job, index, ownership);
    }
  }

  return {
    async poll(now) {
      if (now - polledAt < WORK_POLL_MS) return;
      order.noteRate(launcher.takeEndedItems(), now - polledAt);
      polledAt = now;
      await readWork();
      for (const job of [...views.values()]) {
        await updateJob(job, now);
        if (isWhole(job)) await finishJob(job);
        else await takeOverSegments(job, now);
      }
    },
    acquireSegments,
    isRunning: () => launcher.countRunning() > 0,
    awaitIdle: () => launcher.awaitIdle(),
    describeState: () => ({
      service,
      openJobs: views.size,
      ...launcher.describe(),
      order: order.describe(),
    }),
  };
}
