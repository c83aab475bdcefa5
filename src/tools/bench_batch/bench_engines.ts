/**
 * Measures a bundle through a complete instance. It is submitted over HTTP and run on
 * model engine stand-ins; platform and engines run in a separate process.
 */
import {fork} from 'node:child_process';
import {once} from 'node:events';
import {Readable} from 'node:stream';
import {request} from 'undici';
import {createJobsClient, type Job} from '../../cli/jobs/jobs_client.js';
import {createSystemClock, waitFor} from '../../common/clock.js';
import {createSilentLog} from '../../common/log.js';
import {applyServiceDocument} from '../../instance/configuration/configuration.js';
import {startInstance} from '../../instance/instance.js';
import {giveKey} from '../../instance/keys/key_directory.js';
import {createPlatform} from '../../stores/create_platform.js';
import {startEngineServer} from '../../stand_ins/engine/engine_server.js';
import {startPlatformServer} from '../../stand_ins/platform/platform_server.js';
import {
  ENGINE_DOCUMENT,
  makeEndpoint,
  makeSettings,
} from '../../testing/fixtures.js';
import {
  countLinesInOrder,
  generateBundle,
  startMemorySampler,
} from './bench_parts.js';

const DEFAULT_ITEMS = 10_000;
const ENGINES = 4;
const POLL_INTERVAL_MS = 250;
const MIB = 1024 ** 2;
const STAND_INS_ARGUMENT = '--stand-ins';

async function runBench(items: number): Promise<void> {
  const child = fork(import.meta.filename, [STAND_INS_ARGUMENT]);
  try {
    const [address] = await once(child, 'message');
    await measureBundle(items, address as Record<string, string>);
  } finally {
    child.kill();
  }
}

async function measureBundle(items: number, address: Record<string, string>) {
  const clock = createSystemClock();
  const settings = makeSettings();
  Object.assign(settings.platform, address);
  const platform = createPlatform(settings.platform, {clock});
  await applyServiceDocument(platform.table, ENGINE_DOCUMENT, 'bench');
  const {secret} = await giveKey(platform.table, 'gate');
  const log = createSilentLog();
  const instance = await startInstance({settings, platform, clock, log});
  const memory = startMemorySampler();
  const cpu = process.cpuUsage();
  const client = createJobsClient(instance.callersAddress, secret);
  const fileId = await uploadBundle(instance.callersAddress, secret, items);
  const startedAt = clock.now();
  let job: Job = await client.create(fileId, {
    window: '24h',
    idempotencyKey: 'bench',
  });
  while (job.status === 'in_progress') {
    await waitFor(clock, POLL_INTERVAL_MS);
    job = await client.get(job.id);
  }
  const seconds = (clock.now() - startedAt) / 1000;
  const {user, system} = process.cpuUsage(cpu);
  const lines = await countLinesInOrder(await client.openOutput(job.id));
  const {idle, peak} = memory.stop();
  await instance.stop();
  await platform.close();
  printRows([
    ['items', String(items)],
    ['output lines, in order', String(lines)],
    ['failed', String(job.request_counts.failed)],
    ['work, items/s', (items / seconds).toFixed(0)],
    ['CPU ms for 1,000 items', ((user + system) / items).toFixed(1)],
    ['memory idle, MiB', (idle / MIB).toFixed(0)],
    ['memory peak, MiB', (peak / MIB).toFixed(0)],
  ]);
}

async function uploadBundle(
  address: string,
  secret: string,
  items: number,
): Promise<string> {
  const answer = await request(`http://${address}/v1/files`, {
    method: 'POST',
    body: Readable.from(generateBundle(items)),
    headers: {authorization: `Bearer ${secret}`},
  });
  const {id} = (await answer.body.json()) as {id: string};
  return id;
}

function printRows(rows: readonly (readonly string[])[]) {
  for (const [name, value] of rows) process.stdout.write(`${name}: ${value}\n`);
}

async function serveStandIns() {
  const server = await startPlatformServer();
  const engines = await Promise.all(
    Array.from({length: ENGINES}, () => startEngineServer()),
  );
  server.platform.setInstances(
    engines.map(({address}) => makeEndpoint(address)),
  );
  process.send?.(server.settings);
}

if (process.argv.includes(STAND_INS_ARGUMENT)) await serveStandIns();
else await runBench(Number(process.argv[2] ?? DEFAULT_ITEMS));
