/**
 * Measures a bundle from upload to output with the batch module of one instance. It uses
 * the real platform adapters against a platform stand-in in a separate process, and a
 * fake in place of the module that runs requests.
 */
import {fork} from 'node:child_process';
import {once} from 'node:events';
import {createSystemClock, waitFor, type Clock} from '../../common/clock.js';
import {createMetrics} from '../../common/metrics.js';
import {createBatch, type Batch} from '../../instance/batch/batch.js';
import {BATCH_POLL_INTERVAL_MS} from '../../instance/batch/constants.js';
import {openOutput} from '../../instance/batch/output_access.js';
import {
  applyServiceDocument,
  createConfiguration,
} from '../../instance/configuration/configuration.js';
import {createLocalLimits} from '../../instance/limits/limits.js';
import {
  createInstanceLease,
  type InstanceLease,
} from '../../instance/members/instance_lease.js';
import {createPlatform} from '../../stores/create_platform.js';
import type {Platform} from '../../stores/platform.js';
import {startPlatformServer} from '../../stand_ins/platform/platform_server.js';
import {ENGINE_DOCUMENT, makeSettings} from '../../testing/fixtures.js';
import {
  countLinesInOrder,
  createFakeExecution,
  generateBundle,
  startMemorySampler,
} from './bench_parts.js';
import {
  buildCountedPlatform,
  createPlatformCalls,
  type PlatformCalls,
} from './counted_platform.js';

const DEFAULT_ITEMS = 290_000;
const WAIT_MS = 50;
const MIB = 1024 ** 2;
const ITEMS_PER_DAY = 420_000_000;
const SECONDS_PER_DAY = 86_400;
const DAY_MS = 86_400_000;
const PLATFORM_ARGUMENT = '--platform';
const ACCOUNT = 'gate';
const SERVICE = 'drum-reader';

/** Seconds and calls of one phase. */
interface Phase {
  seconds: number;
  calls: PlatformCalls;
}

async function runBench(items: number) {
  const child = fork(import.meta.filename, [PLATFORM_ARGUMENT]);
  try {
    const [settings] = await once(child, 'message');
    return await measureBundle(items, settings as Record<string, string>);
  } finally {
    child.kill();
  }
}

async function measureBundle(items: number, address: Record<string, string>) {
  const clock = createSystemClock();
  const connected = createPlatform(
    {...makeSettings().platform, ...address},
    {clock},
  );
  const calls = createPlatformCalls();
  const platform = buildCountedPlatform(connected, calls);
  const lease = createInstanceLease(platform.table, 'run-bench');
  const batch = await startBatch(clock, platform, lease);
  const stopPolling = startPolling(clock, batch, lease);
  const memory = startMemorySampler();
  const cpu = process.cpuUsage();

  async function measurePhase(task: () => Promise<void>): Promise<Phase> {
    Object.assign(calls, createPlatformCalls());
    const startedAt = clock.now();
    await task();
    return {seconds: (clock.now() - startedAt) / 1000, calls: {...calls}};
  }

  let fileId = '';
  let jobId = '';
  let lines = 0;
  const upload = await measurePhase(async () => {
    fileId = await uploadBundle(batch, items, clock.wallNow());
  });
  const work = await measurePhase(async () => {
    jobId = await createJob(batch, fileId, clock.wallNow());
    await awaitEnd(clock, batch, jobId);
  });
  const {user, system} = process.cpuUsage(cpu);
  const read = await measurePhase(async () => {
    const {content} = await openOutput(batch, ACCOUNT, jobId);
    lines = await countLinesInOrder(content);
  });
  stopPolling();
  const {idle, peak} = memory.stop();
  await connected.close();
  return {
    items,
    lines,
    upload,
    work,
    read,
    cpuMs: (user + system) / 1000,
    idle,
    peak,
  };
}

async function startBatch(
  clock: Clock,
  platform: Platform,
  lease: InstanceLease,
): Promise<Batch> {
  await applyServiceDocument(platform.table, ENGINE_DOCUMENT, 'bench');
  const configuration = createConfiguration(platform.table);
  await configuration.poll();
  await lease.renew(clock.now());
  return createBatch({
    clock,
    platform,
    configuration,
    execution: createFakeExecution(),
    limits: createLocalLimits(clock),
    metrics: createMetrics(),
    lease,
  });
}

/** Polls as an instance's supervisor does; returns a function that stops it. */
function startPolling(
  clock: Clock,
  batch: Batch,
  lease: InstanceLease,
): () => void {
  let isStopped = false;
  async function pollUntilStopped() {
    while (!isStopped) {
      if (!lease.isHeld(clock.now() + DAY_MS / 10_000)) {
        await lease.renew(clock.now());
      }
      await batch.poll();
      await waitFor(clock, BATCH_POLL_INTERVAL_MS);
    }
  }
  void pollUntilStopped();
  return () => {
    isStopped = true;
  };
}

async function uploadBundle(
  batch: Batch,
  items: number,
  wallNow: number,
): Promise<string> {
  const file = await batch.files.upload(
    {
      account: ACCOUNT,
      filename: 'bench.jsonl',
      content: generateBundle(items),
      findTarget: () => ({service: SERVICE, maxItems: items}),
      authorize: async () => {},
    },
    wallNow,
  );
  return file.id;
}

async function createJob(
  batch: Batch,
  fileId: string,
  wallNow: number,
): Promise<string> {
  const job = await batch.jobs.create(
    {
      account: ACCOUNT,
      fileId,
      idempotencyKey: 'bench',
      endpoint: undefined,
      completionWindow: '24h',
      dueAt: wallNow + DAY_MS,
      metadata: '{}',
      dueRequest: '',
      authorize: async () => {},
    },
    wallNow,
  );
  return job.id;
}

/**
 * Waits until the job has ended. It reads the job only once a second, because these
 * reads are counted too.
 */
async function awaitEnd(clock: Clock, batch: Batch, jobId: string) {
  for (let waits = 1; ; waits++) {
    await waitFor(clock, WAIT_MS);
    if (waits % 20 !== 0) continue;
    const {record} = await batch.jobs.find(ACCOUNT, jobId);
    if (record.state !== 'in_progress') return;
  }
}

function printResult(result: Awaited<ReturnType<typeof runBench>>) {
  const {items, lines, upload, work, read, cpuMs, idle, peak} = result;
  const thousands = items / 1000;
  const all: PlatformCalls = {...upload.calls};
  for (const name of Object.keys(all) as (keyof PlatformCalls)[]) {
    all[name] += work.calls[name];
  }
  const perThousand = (count: number) => (count / thousands).toFixed(2);
  const perSecondAtDailyVolume = (count: number) =>
    (((count / items) * ITEMS_PER_DAY) / SECONDS_PER_DAY).toFixed(1);
  const rows = [
    ['items', String(items)],
    ['output lines, in order', String(lines)],
    ['upload, items/s', (items / upload.seconds).toFixed(0)],
    ['work, items/s', (items / work.seconds).toFixed(0)],
    ['output read, items/s', (items / read.seconds).toFixed(0)],
    ['CPU ms for 1,000 items', (cpuMs / thousands).toFixed(1)],
    ['memory idle, MiB', (idle / MIB).toFixed(0)],
    ['memory peak, MiB', (peak / MIB).toFixed(0)],
    ...Object.entries(all).map(([name, count]) => [
      `${name}: for 1,000 items; a second at 420 million items a day`,
      `${perThousand(count)}; ${perSecondAtDailyVolume(count)}`,
    ]),
  ];
  for (const [name, value] of rows) process.stdout.write(`${name}: ${value}\n`);
}

async function servePlatform() {
  const server = await startPlatformServer();
  process.send?.(server.settings);
}

if (process.argv.includes(PLATFORM_ARGUMENT)) await servePlatform();
else printResult(await runBench(Number(process.argv[2] ?? DEFAULT_ITEMS)));
