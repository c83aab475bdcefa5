/**
 * Instances that work batch jobs on virtual time over one platform in memory,
 * and an engine at the interface that runs requests. The engine keeps a record
 * of every run, so that a test can count what callers would be billed for.
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
import {createProcess, type Process} from './pausable.js';

const POLL_MS = 200;
const WALL_START = Date.parse('2026-01-05T18:00:00Z');

/** What one item met. */
export interface ItemRun {
  instance: string;
  startedAt: number;
  ended: boolean;
}

/** Called with each item that begins; may kill its instance or throw. */
export type ItemHook = (customId: string, instance: FleetInstance) => void;

/** An instance of the fleet. */
export interface FleetInstance {
  name: string;
  batch: Batch;
  process: Process;
  /** Asks for a graceful end; resolves when it has ended. */
  drain(): Promise<void>;
}

/** How the fleet begins. */
export interface FleetOptions {
  segmentItems?: number;
  /** Items that the endpoints run at once. */
  slots?: number;
  /** Time an item takes, in ms. */
  itemMs?: number;
  /** Lines added to the service document. */
  document?: string;
}

/** A fleet with its controls. */
export type BatchFleet = Awaited<ReturnType<typeof createBatchFleet>>;

/** Starts without instances. */
export async function createBatchFleet(options: FleetOptions = {}) {
  const {segmentItems = 4, itemMs = 1000, slots = 8, document = ''} = options;
  const clock = createVirtualClock(WALL_START);
  const platform = createMemoryPlatform(clock);
  const runs = new Map<string, ItemRun[]>();
  const instances: FleetInstance[] = [];
  const hooks = {
    onBegin: undefined as ItemHook | undefined,
    /** Called before an instance writes an object; may pause it. */
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

  let free = slots;
  const queue: {process: Process; resolve: () => void}[] = [];

  /** Throws when the request ends while it waits. */
  async function acquireSlot({signal}: ExecutionRequest, process: Process) {
    if (free > 0) {
      free--;
      return;
    }
    await new Promise<void>((resolve, reject) => {
      const waiter = {process, resolve};
      queue.push(waiter);
      signal.addEventListener('abort', () => {
        const place = queue.indexOf(waiter);
        if (place < 0) return;
        queue.splice(place, 1);
        reject(buildCancelled('not-run'));
      });
    });
  }

  function releaseSlot() {
    const place = queue.findIndex(({process}) => !process.isDead());
    if (place < 0) free++;
    else queue.splice(place, 1)[0].resolve();
  }

  /** The endpoint frees its slot whatever becomes of the instance. */
  function scheduleRelease(request: ExecutionRequest): Promise<void> {
    return new Promise(resolve => {
      let isHeld = true;
      function finishRun() {
        if (isHeld) releaseSlot();
        isHeld = false;
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
      hooks.onBegin?.(content, getInstance());
      await process.awaitRunning();
      onStarted?.();
      await finished;
      await process.awaitRunning();
      if (request.signal.aborted) throw buildCancelled('may-have-run');
      run.ended = true;
      const payloads = [buildChunk(request, content)];
      return {status: 200, headers: {}, payloads};
    }
    return {
      collect: collectAnswer,
      run: () => assert.fail('batch reads whole answers'),
      describeState: () => ({}),
    };
  }

  function buildWatchedObjects(
    process: Process,
    getInstance: () => FleetInstance,
  ): ObjectStore {
    const guarded = process.buildGuarded(platform.objects);
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
    const process = createProcess(clock);
    const table = process.buildGuarded(platform.table);
    const lease = createInstanceLease(table, `run-of-${name}`);
    const configuration = createConfiguration(table);
    await configuration.poll();
    const batch: Batch = createBatch({
      clock: process.clock,
      platform: {
        table,
        objects: buildWatchedObjects(process, () => instance),
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

/** Runs `task` at once and again `everyMs` after each end. */
function scheduleRepeatedly(
  process: Process,
  everyMs: number,
  task: () => Promise<void>,
) {
  async function runOnce() {
    // A store that gives no answer is met again the next time.
    await task().catch(() => {});
    process.clock.schedule(everyMs, () => void runOnce());
  }
  void runOnce();
}

function buildCancelled(verdict: Verdict): RouterError {
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

/** Lines of a bundle whose items are called by `ids`. */
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

/** Ids `i0`, `i1` and so on. */
export function makeIds(count: number): string[] {
  return Array.from({length: count}, (_, index) => `i${index}`);
}

/** An upload of `text`, cut into chunks of `chunkBytes`. */
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

/** A request for a job over `fileId`, due in a day. */
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

/** Uploads a bundle of `ids` and creates a job over it; returns its id. */
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
