/**
 * Runs the open jobs of one service: finds them, claims segments, takes over
 * segments whose owner is gone, and completes jobs whose results are all
 * committed.
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
  MAX_SEGMENT_ITEMS,
  SEGMENTS_REFRESH_INTERVAL_MS,
  URGENT_CREDIT_ITEMS,
  WORK_POLL_INTERVAL_MS,
} from './constants.js';
import {summarizeSegments} from './job_output.js';
import type {JobStore} from './job_store.js';
import {
  countRemainingItems,
  createJobView,
  findOpenSegment,
  isComplete,
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

/** Checks whether the lease of an owner has expired; see LeaseObserver. */
export type OwnerCheck = (incarnation: string, now: number) => Promise<boolean>;

export interface ServiceWorkerDependencies extends SegmentLauncherDependencies {
  clock: Clock;
  platform: Platform;
  jobs: JobStore;
  checkOwnerExpired: OwnerCheck;
  /** Undefined while the lease is not held. */
  findOwnership: () => Ownership | undefined;
  /** Determines at which segment of a job this instance starts. */
  incarnation: string;
}

/** The worker of one service on this instance. */
export interface ServiceWorker {
  /** Finds new and ended jobs, and takes over segments; throws StoreError. */
  poll(now: number): Promise<void>;
  /** Claims segments while there is room; throws StoreError. */
  acquireSegments(): Promise<void>;
  /** Whether segments are in progress. */
  isRunning(): boolean;
  /** Resolves when no segment is in progress. */
  awaitIdle(): Promise<void>;
  describeState(): object;
}

/** Creates a worker without jobs; `poll` finds them. */
export function createServiceWorker(
  service: string,
  dependencies: ServiceWorkerDependencies,
): ServiceWorker {
  const {clock, platform, configuration, jobs, segments, metrics} =
    dependencies;
  const views = new Map<string, JobView>();
  const order = createSegmentOrder(URGENT_CREDIT_ITEMS);
  const launcher = createSegmentLauncher(service, dependencies, {
    onRoom: () => void runCountingStoreErrors(acquireSegments),
    onEnd: handleEnd,
  });
  let polledAt = -Infinity;
  let isAcquiring = false;

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

  /** Chooses a start segment by incarnation, so that few claims conflict. */
  function chooseStart(jobId: string): number {
    const digest = hashText(`${dependencies.incarnation}\n${jobId}`);
    return parseInt(digest.slice(0, 8), 16);
  }

  /** Stops the segments of a job that has ended. */
  function closeView(job: JobView) {
    views.delete(job.id);
    job.ended.abort();
  }

  async function updateJob(job: JobView, now: number) {
    const hasForeign =
      listForeignSegments(job).length > 0 ||
      job.segments.size < job.work.segments;
    const isDue =
      hasForeign && now - job.refreshedAt >= SEGMENTS_REFRESH_INTERVAL_MS;
    if (!job.isStale && !isDue) return;
    updateView(job, await segments.query(job.id), now);
  }

  /**
   * Completes a job. The view may be out of date, but segments that are done do
   * not change.
   */
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

  /**
   * Completes a job whose segments are all done. Marks the view as stale after
   * the last segment of this instance, so that the next poll reads whether the
   * segments of other instances are done.
   */
  function handleEnd(job: JobView, end: SegmentEnd) {
    const isLast = job.running.size === 0 && findOpenSegment(job) === undefined;
    if (end === 'lost' || isLast) job.isStale = true;
    if (end === 'done' && isComplete(job))
      void runCountingStoreErrors(() => finishJob(job));
    void runCountingStoreErrors(acquireSegments);
  }

  /**
   * Runs a task between polls and counts a StoreError; the next poll retries.
   */
  async function runCountingStoreErrors(task: () => Promise<void>) {
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
    const candidate = order.chooseJob(candidates, clock.wallNow());
    const job = candidate && views.get(candidate.jobId);
    const index = job && findOpenSegment(job);
    if (!job || index === undefined) return false;
    if (!(await launcher.acquire(job, index, ownership))) return true;
    order.noteClaimed(candidate.account, MAX_SEGMENT_ITEMS, candidate.weight);
    return true;
  }

  async function acquireSegments() {
    if (isAcquiring) return;
    isAcquiring = true;
    try {
      while (launcher.hasRoom() && !dependencies.drain.aborted) {
        const ownership = dependencies.findOwnership();
        if (!ownership || !(await acquireNext(ownership))) return;
      }
    } finally {
      isAcquiring = false;
    }
  }

  /**
   * A segment that this instance owns but does not run was claimed by a write
   * without a response, and may be claimed again.
   */
  async function isOwnerGone(
    record: SegmentRecord,
    ownership: Ownership,
    now: number,
  ): Promise<boolean> {
    if (record.owner === ownership.incarnation) return true;
    return dependencies.checkOwnerExpired(record.owner, now);
  }

  async function takeOverSegments(job: JobView, now: number) {
    for (const [index, {record}] of listForeignSegments(job)) {
      const ownership = dependencies.findOwnership();
      if (!ownership || dependencies.drain.aborted || !launcher.hasRoom())
        return;
      const isGone = await isOwnerGone(record, ownership, now);
      if (!isGone || job.running.has(index)) continue;
      await launcher.acquire(job, index, ownership);
    }
  }

  return {
    async poll(now) {
      if (now - polledAt < WORK_POLL_INTERVAL_MS) return;
      order.noteRate(launcher.takeEndedItems(), now - polledAt);
      polledAt = now;
      await readWork();
      for (const job of [...views.values()]) {
        await updateJob(job, now);
        if (isComplete(job)) await finishJob(job);
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
