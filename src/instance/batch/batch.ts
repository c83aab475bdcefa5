/**
 * Batch bundles: files of items, jobs that run them, and the outputs of
 * completed jobs. All are stored in the platform's table and object store.
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

/** Tells for which services this instance runs jobs. */
export interface PoolOwnership {
  /** Lists the services for whose pools this instance is the dispatcher. */
  listOwnServices(now: number): string[];
}

/** The interface of batch for the HTTP routes and the supervisor. */
export interface Batch extends StateSource {
  files: FileStore;
  jobs: JobStore;
  segments: SegmentStore;
  metrics: BatchMetrics;
  /** Reads result objects in order. */
  readParts(parts: readonly ResultPart[]): AsyncGenerator<Buffer>;
  /** Finds and starts work. Counts a StoreError; the next call retries. */
  poll(): Promise<void>;
  /** Starts no more items, commits finished ones and releases all segments. */
  drain(): Promise<void>;
}

export interface BatchDependencies {
  clock: Clock;
  platform: Platform;
  configuration: Configuration;
  execution: Execution;
  limits: Limits;
  metrics: Metrics;
  /** The lease of this instance, which another module renews. */
  lease: InstanceLease;
  /** If not given, all instances run the jobs of every service. */
  ownership?: PoolOwnership;
  /** Maximum number of items in a segment; MAX_SEGMENT_ITEMS if not given. */
  segmentItems?: number;
}

/** Creates batch without work; `poll` has to be called periodically. */
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
  // Each waiting item adds a listener.
  setMaxListeners(0, drain.signal);
  const workers = new Map<string, ServiceWorker>();

  function listOwnServices(): string[] {
    if (dependencies.ownership) {
      return dependencies.ownership.listOwnServices(clock.now());
    }
    return configuration.list().map(({document}) => document.service.name);
  }

  function getWorker(service: string): ServiceWorker {
    const existing = workers.get(service);
    if (existing) return existing;
    const worker = createServiceWorker(service, {
      clock,
      platform,
      configuration,
      jobs,
      segments,
      runSegment,
      metrics,
      incarnation: lease.incarnation,
      checkOwnerExpired: owners.check,
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

  /**
   * Removes idle workers of services that this instance does not run any more.
   */
  function removeIdleWorkers(own: readonly string[]) {
    for (const [service, worker] of workers) {
      if (!own.includes(service) && !worker.isRunning()) {
        workers.delete(service);
      }
    }
  }

  async function runCountingStoreErrors(task: () => Promise<void>) {
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
        await runCountingStoreErrors(() => pollService(service));
      }
      for (const [service, worker] of workers) {
        if (own.includes(service)) continue;
        await runCountingStoreErrors(() => worker.poll(clock.now()));
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
