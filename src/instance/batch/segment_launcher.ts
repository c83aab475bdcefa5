/** Claims segments of one service's jobs and keeps those under way. */
import {setMaxListeners} from 'node:events';
import type {Clock} from '../../common/clock.js';
import type {Configuration} from '../configuration/configuration.js';
import type {BatchMetrics} from './batch_metrics.js';
import {
  CLAIM_AHEAD_ITEMS,
  MAX_ACTIVE_SEGMENTS,
  SEGMENT_ITEMS,
} from './constants.js';
import {countRemainingItems, type JobView} from './job_view.js';
import type {Ownership} from './ownership.js';
import {buildClaim} from './segment_plan.js';
import type {SegmentEnd, SegmentRunner} from './segment_runner.js';
import type {OwnedSegment, SegmentStore} from './segment_store.js';
import {createWorkWindow} from './work_window.js';

/** What the launcher works with. */
export interface SegmentLauncherDependencies {
  clock: Clock;
  configuration: Configuration;
  segments: SegmentStore;
  runSegment: SegmentRunner;
  /** Aborted on shutdown. */
  drain: AbortSignal;
  metrics: BatchMetrics;
}

/** Told when there may be room for another segment, or a job may be whole. */
export interface LauncherEvents {
  onRoom: () => void;
  onEnd: (job: JobView, end: SegmentEnd) => void;
}

/** Segments under way on this instance. */
export interface SegmentLauncher {
  hasRoom(): boolean;
  countRunning(): number;
  /** Items that ended since this was last asked. */
  takeEndedItems(): number;
  /** Whether the segment is this instance's now; throws StoreError. */
  acquire(job: JobView, index: number, ownership: Ownership): Promise<boolean>;
  /** Resolves when none is under way. */
  awaitIdle(): Promise<void>;
  describe(): object;
}

/** Starts with none. */
export function createSegmentLauncher(
  service: string,
  dependencies: SegmentLauncherDependencies,
  events: LauncherEvents,
): SegmentLauncher {
  const {configuration, segments, metrics} = dependencies;
  const running = new Set<Promise<void>>();
  const window = createWorkWindow();
  /** Items of segments under way that have not begun. */
  let unbegun = 0;
  let ended = 0;

  function hasRoom(): boolean {
    return unbegun < CLAIM_AHEAD_ITEMS && running.size < MAX_ACTIVE_SEGMENTS;
  }

  function noteRecord(job: JobView, {index, version, record}: OwnedSegment) {
    job.segments.set(index, {id: String(index), version, record});
  }

  /** Counts the items of one segment that have not begun. */
  function createCountdown(initial: number) {
    let left = initial;
    unbegun += left;
    return {
      set(items: number) {
        unbegun += items - left;
        left = items;
      },
      countBegun() {
        if (left === 0) return;
        left--;
        unbegun--;
        if (hasRoom()) events.onRoom();
      },
    };
  }

  function startSegment(
    job: JobView,
    segment: OwnedSegment,
    ownership: Ownership,
  ) {
    const remaining = Math.min(SEGMENT_ITEMS, countRemainingItems(job));
    const countdown = createCountdown(remaining);
    const {batch} = configuration.find(service)?.document ?? {};
    const stop = AbortSignal.any([job.ended.signal, ownership.lost]);
    // Each item under way listens to it.
    setMaxListeners(0, stop);
    const run = dependencies.runSegment({
      segment,
      service,
      upload: job.work.upload,
      window,
      rules: {idempotent: batch?.idempotent ?? false},
      stop,
      drain: dependencies.drain,
      onItem(event) {
        metrics.countItem(event);
        if (event === 'begun') countdown.countBegun();
        if (event === 'succeeded' || event === 'failed') ended++;
      },
      onLoaded: items => countdown.set(items - segment.record.done),
      onRecord: next => noteRecord(job, next),
    });
    watchRun(job, segment.index, run, () => countdown.set(0));
  }

  function watchRun(
    job: JobView,
    index: number,
    run: Promise<SegmentEnd>,
    forget: () => void,
  ) {
    async function awaitEnd() {
      // A crash is counted; the segment is claimed anew, as from a lost owner.
      const end = await run.catch(() => 'crashed' as const);
      metrics.countSegment(end);
      forget();
      job.running.delete(index);
      job.cursor = 0;
      running.delete(tracked);
      events.onEnd(job, end === 'crashed' ? 'lost' : end);
    }
    const tracked = awaitEnd();
    running.add(tracked);
  }

  return {
    hasRoom,
    countRunning: () => running.size,
    takeEndedItems() {
      const items = ended;
      ended = 0;
      return items;
    },
    async acquire(job, index, ownership) {
      const held = job.segments.get(index);
      const id = {account: job.work.account, jobId: job.id, index};
      const record = buildClaim(held?.record, ownership.incarnation);
      job.running.add(index);
      // Without an answer it may be this instance's: a fresh look tells.
      job.isStale = true;
      try {
        const version = held?.version ?? 0;
        const outcome = await segments.write(id, version, record);
        if (outcome.kind === 'lost') {
          metrics.countSegment('claim_lost');
          job.running.delete(index);
          return false;
        }
        job.isStale = false;
        noteRecord(job, outcome.segment);
        metrics.countSegment(record.losses > 0 ? 'taken_over' : 'claimed');
        startSegment(job, outcome.segment, ownership);
        return true;
      } catch (thrown) {
        job.running.delete(index);
        throw thrown;
      }
    },
    async awaitIdle() {
      while (running.size > 0) await Promise.all([...running]);
    },
    describe: () => ({
      runningSegments: running.size,
      unbegunItems: unbegun,
      window: window.describe(),
    }),
  };
}
