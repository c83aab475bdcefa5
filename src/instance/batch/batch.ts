/**
 * Batch bundles: files of items, jobs over them, and their whole outputs, all
 * of it in the platform's table and object store; and the work on them.
 */
import {setMaxListeners} from 'node:events';
import type {Clock} from '../../common/clock.js';
import type {Metrics} from '../../common/metrics.js';
import type {StateSource} from '../../common/state_dump.js';
import type {Platform} from '../../stores/platform.js';
import {StoreError} from '../../stores/table_store.js';
import type {Configuration} from '../configuration/configuration.js';
import type {Execution} from '../execution/execution.js';
import type {Limits} from '../limits/limits.js';
import type {InstanceLease} from '../members/instance_lease.js';
import {createBatchMetrics, type BatchMetrics} from './batch_metrics.js';
import {createFileStore, type FileStore} from './file_store.js';
import {createItemRunner} from './item_runner.js';
import {readParts} from './job_output.js';
import {createJobStore, type JobStore} from './job_store.js';
import {createOwnershipWatch} from './ownership.js';
import {createOwnerCheck} from './owner_check.js';
import type {ResultPart} from './records.js';
import {createSegmentRunner} from './segment_runner.js';
import {createSegmentStore, type SegmentStore} from './segment_store.js';
import {createSegmentWriter} from './segment_writer.js';
import {createServiceWorker, type ServiceWorker} from './service_worker.js';

/** Which services' jobs this instance works. */
export interface PoolOwnership {
  /** Names of services of whose pools this instance is the dispatcher. */
  listOwnServices(now: number): string[];
}

/** What the callers' interface and the supervisor ask of batch. */
export interface Batch extends StateSource {
  files: FileStore;
  jobs: JobStore;
  segments: SegmentStore;
  metrics: BatchMetrics;
  /** The objects of results one after another. */
  readParts(parts: readonly ResultPart[]): AsyncGenerator<Buffer>;
  /** Looks for work and begins it; a StoreError is counted and met again. */
  poll(): Promise<void>;
  /** Begins nothing more, commits what is done and gives segments back. */
  drain(): Promise<void>;
}

/** Everything batch works with. */
export interface BatchDependencies {
  clock: Clock;
  platform: Platform;
  configuration: Configuration;
  execution: Execution;
  limits: Limits;
  metrics: Metrics;
  /** The lease of this instance, which is renewed elsewhere. */
  lease: InstanceLease;
  /** Left out: all instances work every service. */
  ownership?: PoolOwnership;
  /** Items of a segment, at the most; left out: SEGMENT_ITEMS. */
  segmentItems?: number;
}

/** Starts without work; `poll` is called again and again. */
export function createBatch(dependencies: BatchDependencies): Batch {
  const {clock, platform, configuration, lease} = dependencies;
  const metrics = createBatchMetrics(dependencies.metrics);
  const files = createFileStore(platform, dependencies.segmentItems);
  const jobs = createJobStore(platform, files);
  const segments = createSegmentStore(platform);
  const items = createItemRunner({...dependencies, metrics});
  const writer = createSegmentWriter({
    clock,
    objects: platform.objects,
    segments,
  });
  const runSegment = createSegmentRunner(items, writer);
  const leaseWatch = createOwnershipWatch(lease);
  const owners = createOwnerCheck(platform.table);
  const drain = new AbortController();
  // Each item that waits listens to it.
  setMaxListeners(0, drain.signal);
  const workers = new Map<string, ServiceWorker>();

  function listOwnServices(): string[] {
    if (dependencies.ownership) {
      return dependencies.ownership.listOwnServices(clock.now());
    }
    return configuration.list().map(({document}) => document.service.name);
  }

  function getWorker(service: string): ServiceWorker {
    const held = workers.get(service);
    if (held) return held;
    const worker = createServiceWorker(service, {
      clock,
      platform,
      configuration,
      jobs,
      segments,
      runSegment,
      metrics,
      incarnation: lease.incarnation,
      checkOwnerOver: owners.check,
      findOwnership: () => leaseWatch.find(clock.now()),
      drain: drain.signal,
    });
    workers.set(service, worker);
    return worker;
  }

  async function pollService(service: string) {
    const worker = getWorker(service);
    await worker.poll(clock.now());
    await worker.acquireSegments();
  }

  /** A service that is no longer this instance's is let go once it is idle. */
  function removeIdleWorkers(own: readonly string[]) {
    for (const [service, worker] of workers) {
      if (!own.includes(service) && !worker.isRunning()) {
        workers.delete(service);
      }
    }
  }

  async function runQuietly(task: () => Promise<void>) {
    try {
      await task();
    } catch (thrown) {
      if (!(thrown instanceof StoreError)) throw thrown;
      metrics.countStoreFailure();
      owners.reset();
    }
  }

  return {
    files,
    jobs,
    segments,
    metrics,
    readParts: parts => readParts(platform.objects, parts),
    async poll() {
      if (drain.signal.aborted) return;
      leaseWatch.poll();
      const own = listOwnServices();
      removeIdleWorkers(own);
      for (const service of own) {
        await runQuietly(() => pollService(service));
      }
      for (const [service, worker] of workers) {
        if (own.includes(service)) continue;
        await runQuietly(() => worker.poll(clock.now()));
      }
    },
    async drain() {
      drain.abort();
      for (const worker of workers.values()) await worker.awaitIdle();
    },
    describeState: () => ({
      draining: drain.signal.aborted,
      leaseHeld: lease.isHeld(clock.now()),
      services: [...workers.values()].map(worker => worker.describeState()),
    }),
  };
}
