/** Claims segments of one service's jobs and runs them. */
import {setMaxListeners} from 'node:events';
import type {Clock} from '../../common/clock.js';
import type {Configuration} from '../configuration/configuration.js';
import type {BatchMetrics} from './batch_metrics.js';
import {
  CLAIM_AHEAD_ITEMS,
  MAX_ACTIVE_SEGMENTS,
  MAX_SEGMENT_ITEMS,
} from './constants.js';
import {countRemainingItems, type JobView} from './job_view.js';
import type {Ownership} from './ownership.js';
import {buildClaim} from './segment_plan.js';
import type {SegmentEnd, SegmentRunner} from './segment_runner.js';
import type {OwnedSegment, SegmentStore} from './segment_store.js';
import {createWorkWindow} from './work_window.js';

export interface SegmentLauncherDependencies {
  clock: Clock;
  configuration: Configuration;
  segments: SegmentStore;
  runSegment: SegmentRunner;
  /** Aborted on shutdown. */
  drain: AbortSignal;
  metrics: BatchMetrics;
}

/**
 * Called when there may be room for another segment, and when a segment ended.
 */
export interface LauncherEvents {
  onRoom: () => void;
  onEnd: (job: JobView, end: SegmentEnd) => void;
}

/** Runs segments on this instance. */
export interface SegmentLauncher {
  hasRoom(): boolean;
  countRunning(): number;
  /** Returns and resets the number of items that have ended. */
  takeEndedItems(): number;
  /**
   * Claims and starts a segment; false if the claim lost. Throws StoreError.
   */
  acquire(job: JobView, index: number, ownership: Ownership): Promise<boolean>;
  /** Resolves when no segment is in progress. */
  awaitIdle(): Promise<void>;
  describe(): object;
}

export function createSegmentLauncher(
  service: string,
  dependencies: SegmentLauncherDependencies,
  events: LauncherEvents,
): SegmentLauncher {
  const {configuration, segments, metrics} = dependencies;
  const running = new Set<Promise<void>>();
  const window = createWorkWindow();
  /** Number of items of claimed segments that have not been started. */
  let unbegun = 0;
  let ended = 0;

  function hasRoom(): boolean {
    return unbegun < CLAIM_AHEAD_ITEMS && running.size < MAX_ACTIVE_SEGMENTS;
  }

  function noteRecord(job: JobView, {index, version, record}: OwnedSegment) {
    job.segments.set(index, {id: String(index), version, record});
  }

  /** Tracks the items of one segment that have not been started. */
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
    const remaining = Math.min(MAX_SEGMENT_ITEMS, countRemainingItems(job));
    const countdown = createCountdown(remaining);
    const {batch} = configuration.find(service)?.document ?? {};
    const stop = AbortSignal.any([job.ended.signal, ownership.lost]);
    // Each item in progress adds a listener.
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
    resetCountdown: () => void,
  ) {
    async function awaitEnd() {
      // An unexpected error is counted. The segment is claimed again, as after
      // the loss of an owner.
      const end = await run.catch(() => 'crashed' as const);
      metrics.countSegment(end);
      resetCountdown();
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
      const stored = job.segments.get(index);
      const id = {account: job.work.account, jobId: job.id, index};
      const record = buildClaim(stored?.record, ownership.incarnation);
      job.running.add(index);
      // Without a response the claim may have succeeded; the view is read
      // again.
      job.isStale = true;
      try {
        const version = stored?.version ?? 0;
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
