/**
 * A fleet of instances that process batch jobs on virtual time. They share one
 * in-memory platform, and a fake engine takes the place of the execution layer.
 * The engine records every run, so that a test can count what callers would be
 * billed for.
 */
import assert from 'node:assert/strict';
import {RouterError} from '../common/errors.js';
import {createMetrics} from '../common/metrics.js';
import type {Verdict} from '../common/verdict.js';
import {createVirtualClock} from '../common/virtual_clock.js';
import {createBatch, type Batch} from '../instance/batch/batch.js';
import type {FileUpload} from '../instance/batch/file_store.js';
import type {JobRequest} from '../instance/batch/job_store.js';
import {createConfiguration} from '../instance/configuration/configuration.js';
import {applyServiceDocument} from '../instance/configuration/configuration.js';
import type {
  Execution,
  ExecutionRequest,
  CompleteAnswer,
} from '../instance/execution/execution.js';
import {createLocalLimits} from '../instance/limits/limits.js';
import {
  createInstanceLease,
  LEASE_RENEWAL_INTERVAL_MS,
} from '../instance/members/instance_lease.js';
import type {ObjectStore} from '../stores/object_store.js';
import {createMemoryPlatform} from '../stand_ins/platform/memory_platform.js';
import {ENGINE_DOCUMENT} from './fixtures.js';
import {
  createPausableProcess,
  type PausableProcess,
} from './pausable_process.js';

const POLL_MS = 200;
const WALL_START = Date.parse('2026-01-05T18:00:00Z');

/** One run of an item on the engine. */
export interface ItemRun {
  instance: string;
  startedAt: number;
  ended: boolean;
}

/** Called when the run of an item starts; may kill the instance or throw. */
export type ItemHook = (customId: string, instance: FleetInstance) => void;

/** An instance of the fleet. */
export interface FleetInstance {
  name: string;
  batch: Batch;
  process: PausableProcess;
  /** Shuts the instance down gracefully; resolves when it has ended. */
  drain(): Promise<void>;
}

/** Options of a fleet. */
export interface FleetOptions {
  segmentItems?: number;
  /** Number of items that the endpoints run at the same time. */
  slots?: number;
  /** Duration of an item, in ms. */
  itemMs?: number;
  /** Lines that are added to the service document. */
  document?: string;
}

/** A running fleet with the controls for a test. */
export type BatchFleet = Awaited<ReturnType<typeof createBatchFleet>>;

/** Creates a fleet that has no instances yet. */
export async function createBatchFleet(options: FleetOptions = {}) {
  const {segmentItems = 4, itemMs = 1000, slots = 8, document = ''} = options;
  const clock = createVirtualClock(WALL_START);
  const platform = createMemoryPlatform(clock);
  const runs = new Map<string, ItemRun[]>();
  const instances: FleetInstance[] = [];
  const hooks = {
    onItemStart: undefined as ItemHook | undefined,
    /** Called before an instance writes an object; may pause the instance. */
    onObjectWrite: undefined as ((instance: FleetInstance) => void) | undefined,
  };
  await applyServiceDocument(
    platform.table,
    ENGINE_DOCUMENT + document,
    'tester',
  );

  function recordRun(customId: string, instance: string): ItemRun {
    const run = {instance, startedAt: clock.now(), ended: false};
    runs.set(customId, [...(runs.get(customId) ?? []), run]);
    return run;
  }

  let freeSlots = slots;
  const waiters: {process: PausableProcess; resolve: () => void}[] = [];

  /** Waits for a free slot; throws when the request is aborted while it waits. */
  async function acquireSlot(
    {signal}: ExecutionRequest,
    process: PausableProcess,
  ) {
    if (freeSlots > 0) {
      freeSlots--;
      return;
    }
    await new Promise<void>((resolve, reject) => {
      const waiter = {process, resolve};
      waiters.push(waiter);
      signal.addEventListener('abort', () => {
        const index = waiters.indexOf(waiter);
        if (index < 0) return;
        waiters.splice(index, 1);
        reject(buildCancelledError('not-run'));
      });
    });
  }

  function releaseSlot() {
    const index = waiters.findIndex(({process}) => !process.isDead());
    if (index < 0) freeSlots++;
    else waiters.splice(index, 1)[0].resolve();
  }

  /**
   * Frees the slot when the item ends or is aborted, even when the instance is
   * paused or dead by then, because the slot belongs to the endpoint.
   */
  function scheduleRelease(request: ExecutionRequest): Promise<void> {
    return new Promise(resolve => {
      let hasSlot = true;
      function finishRun() {
        if (hasSlot) releaseSlot();
        hasSlot = false;
        resolve();
      }
      clock.schedule(request.signal.aborted ? 0 : itemMs, finishRun);
      request.signal.addEventListener('abort', finishRun);
    });
  }

  function createEngine(getInstance: () => FleetInstance): Execution {
    async function collectAnswer(
      request: ExecutionRequest,
      onStarted?: () => void,
    ): Promise<CompleteAnswer> {
      const {process, name} = getInstance();
      const content = readContent(request);
      await acquireSlot(request, process);
      const finished = scheduleRelease(request);
      await process.awaitRunning();
      const run = recordRun(content, name);
      hooks.onItemStart?.(content, getInstance());
      await process.awaitRunning();
      onStarted?.();
      await finished;
      await process.awaitRunning();
      if (request.signal.aborted) throw buildCancelledError('may-have-run');
      run.ended = true;
      const payloads = [buildChunk(request, content)];
      return {status: 200, headers: {}, payloads};
    }
    return {
      collect: collectAnswer,
      run: () => assert.fail('batch jobs use collect() only'),
      describeState: () => ({}),
    };
  }

  function buildHookedObjects(
    process: PausableProcess,
    getInstance: () => FleetInstance,
  ): ObjectStore {
    const guarded = process.buildPausable(platform.objects);
    return {
      ...guarded,
      get: (name, range) => guarded.get(name, range),
      delete: name => guarded.delete(name),
      async put(name, body) {
        hooks.onObjectWrite?.(getInstance());
        await guarded.put(name, body);
      },
    };
  }

  async function startInstance(name: string): Promise<FleetInstance> {
    const process = createPausableProcess(clock);
    const table = process.buildPausable(platform.table);
    const lease = createInstanceLease(table, `run-of-${name}`);
    const configuration = createConfiguration(table);
    await configuration.poll();
    const batch: Batch = createBatch({
      clock: process.clock,
      platform: {
        table,
        objects: buildHookedObjects(process, () => instance),
        instances: platform.instances,
      },
      configuration,
      execution: createEngine(() => instance),
      limits: createLocalLimits(clock),
      metrics: createMetrics(),
      lease,
      segmentItems,
    });
    const instance: FleetInstance = {
      name,
      batch,
      process,
      async drain() {
        await batch.drain();
        await lease.release();
      },
    };
    instances.push(instance);
    scheduleRepeatedly(process, LEASE_RENEWAL_INTERVAL_MS, () =>
      lease.renew(clock.now()),
    );
    scheduleRepeatedly(process, POLL_MS, () => batch.poll());
    return instance;
  }

  return {
    clock,
    platform,
    runs,
    instances,
    hooks,
    startInstance,
    advance: (ms: number) => clock.advanceAsync(ms),
    countRuns: (customId: string) => runs.get(customId)?.length ?? 0,
  };
}

/** Runs `task` now, and again `everyMs` after each run has ended. */
function scheduleRepeatedly(
  process: PausableProcess,
  everyMs: number,
  task: () => Promise<void>,
) {
  async function runOnce() {
    // After a store failure the next run tries again.
    await task().catch(() => {});
    process.clock.schedule(everyMs, () => void runOnce());
  }
  void runOnce();
}

function buildCancelledError(verdict: Verdict): RouterError {
  return new RouterError('cancelled', 'the caller is gone', {verdict});
}

function readContent(request: ExecutionRequest): string {
  const {messages} = JSON.parse(Buffer.from(request.body).toString('utf8'));
  return String(messages[0].content);
}

function buildChunk(request: ExecutionRequest, content: string): Buffer {
  const choice = {
    index: 0,
    delta: {content: `re ${content}`},
    finish_reason: 'stop',
  };
  return Buffer.from(
    JSON.stringify({
      id: request.requestId,
      model: request.model,
      choices: [choice],
    }),
  );
}

/** Builds the lines of a bundle with one item for each of `ids`. */
export function makeBundle(ids: readonly string[]): string {
  return ids
    .map(id =>
      JSON.stringify({
        custom_id: id,
        method: 'POST',
        url: '/v1/chat/completions',
        body: {
          model: 'drum-reader-7b',
          messages: [{role: 'user', content: id}],
        },
      }),
    )
    .join('\n');
}

/** Returns the ids `i0`, `i1` and so on. */
export function makeIds(count: number): string[] {
  return Array.from({length: count}, (_, index) => `i${index}`);
}

/** Creates an upload that delivers `text` in chunks of `chunkBytes`. */
export function makeUpload(
  text: string,
  account = 'gate',
  chunkBytes = 1000,
): FileUpload {
  async function* streamChunks() {
    const bytes = Buffer.from(text);
    for (let at = 0; at < bytes.length; at += chunkBytes) {
      yield bytes.subarray(at, at + chunkBytes);
    }
  }
  return {
    account,
    filename: 'bundle.jsonl',
    content: streamChunks(),
    findTarget: model => {
      if (model === 'drum-reader-7b') {
        return {service: 'drum-reader', maxItems: 1000};
      }
      throw new RouterError('not_found', `no model '${model}'`, {
        verdict: 'not-run',
      });
    },
    authorize: async () => {},
  };
}

/** Creates a request for a job over the file `fileId` that is due in 24 h. */
export function makeJobRequest(
  fileId: string,
  overrides: Partial<JobRequest> = {},
): JobRequest {
  return {
    account: 'gate',
    fileId,
    idempotencyKey: 'evening-1',
    endpoint: undefined,
    completionWindow: '24h',
    dueAt: WALL_START + 86_400_000,
    metadata: '{}',
    dueRequest: '',
    authorize: async () => {},
    ...overrides,
  };
}

/** Uploads a bundle of `ids` and creates a job over it; returns the job id. */
export async function sendJob(
  {batch}: FleetInstance,
  ids: readonly string[],
  overrides: Partial<JobRequest> = {},
): Promise<string> {
  const account = overrides.account ?? 'gate';
  const file = await batch.files.upload(
    makeUpload(makeBundle(ids), account),
    WALL_START,
  );
  const request = makeJobRequest(file.id, overrides);
  return (await batch.jobs.create(request, WALL_START)).id;
}
