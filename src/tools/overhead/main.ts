/**
 * `npm run bench:overhead`: measures the latency and processor time that an instance adds
 * to a call, compared in one run with calls to the engine stand-in directly and through a
 * minimal proxy.
 */
import {createBenchClient, type BenchClient} from './client.js';
import {
  startServerProcess,
  type EngineTiming,
  type Role,
  type ServerProcess,
} from './roles.js';

const TOKENS = 32;
const PROMPT = 'is drum 17 accepted at the gate? '.repeat(40);
const WARM_UP_REQUESTS = 200;
/** Sent one after another, alternating over the access paths, so that noise affects all. */
const LATENCY_REQUESTS = 2000;
const CALLERS = 32;
const THROUGHPUT_MS = 5000;

/**
 * One instance's share of the design load: 820,000 tokens per second over 360 instances,
 * with 64 ms between two tokens of a stream.
 */
const PACED_CALLERS = 146;
const PACED_TOKENS = 64;
const PACED_BETWEEN_MS = 64;
const PACED_WARM_UP_MS = 4000;

const ACCESS_PATHS = ['direct', 'pass-through', 'instance'] as const;

type AccessPath = (typeof ACCESS_PATHS)[number];

interface AccessPaths {
  servers: Record<AccessPath, ServerProcess>;
  clients: Record<AccessPath, BenchClient>;
}

interface Load {
  perSecond: number;
  processorMsPerQuestion: number;
  /** Share of one core. */
  processorShare: number;
  residentMiB: number;
}

interface Figures extends Load {
  medianMs: number;
  p99Ms: number;
  firstMedianMs: number;
  firstP99Ms: number;
}

async function measureLatency(clients: Record<AccessPath, BenchClient>) {
  const all = Object.values(clients);
  for (let index = 0; index < WARM_UP_REQUESTS; index++) {
    for (const client of all) await client.sendRequest();
  }
  for (const client of all) {
    client.total.reset();
    client.firstByte.reset();
  }
  for (let index = 0; index < LATENCY_REQUESTS; index++) {
    for (const client of all) await client.sendRequest();
  }
}

async function measureThroughput(
  client: BenchClient,
  server: ServerProcess,
): Promise<Load> {
  await client.sendMany(CALLERS, THROUGHPUT_MS / 5);
  return measureLoad(client, server, CALLERS);
}

async function measureLoad(
  client: BenchClient,
  server: ServerProcess,
  callers: number,
): Promise<Load> {
  const before = await server.measureUsage();
  const startedAt = performance.now();
  const completed = await client.sendMany(callers, THROUGHPUT_MS);
  const elapsedMs = performance.now() - startedAt;
  const after = await server.measureUsage();
  return {
    perSecond: (completed / elapsedMs) * 1000,
    processorShare: (after.processorMs - before.processorMs) / elapsedMs,
    processorMsPerQuestion:
      (after.processorMs - before.processorMs) / completed,
    residentMiB: after.residentBytes / 1024 ** 2,
  };
}

function readLatency({total, firstByte}: BenchClient) {
  const toMs = (microseconds: number) => microseconds / 1000;
  return {
    medianMs: toMs(total.getValueAtPercentile(50)),
    p99Ms: toMs(total.getValueAtPercentile(99)),
    firstMedianMs: toMs(firstByte.getValueAtPercentile(50)),
    firstP99Ms: toMs(firstByte.getValueAtPercentile(99)),
  };
}

function printReport(figures: Record<AccessPath, Figures>) {
  const rows = Object.entries(figures).map(([way, row]) => ({
    way,
    ...Object.fromEntries(
      Object.entries(row).map(([name, value]) => [name, value.toFixed(3)]),
    ),
  }));
  console.table(rows);
  const {direct, 'pass-through': passThrough, instance} = figures;
  const added = (name: 'medianMs' | 'p99Ms' | 'firstMedianMs') =>
    `${(instance[name] - direct[name]).toFixed(3)} ms by the instance, ` +
    `${(passThrough[name] - direct[name]).toFixed(3)} ms by the pass-through`;
  console.log(`added at the median: ${added('medianMs')}`);
  console.log(`added at the 99th percentile: ${added('p99Ms')}`);
  console.log(`added to the first byte: ${added('firstMedianMs')}`);
  const processorRatio =
    instance.processorMsPerQuestion / passThrough.processorMsPerQuestion;
  console.log(
    `processor time a question (${TOKENS} tokens): ` +
      `${processorRatio.toFixed(2)} of the pass-through`,
  );
}

async function startAccessPaths(timing: EngineTiming): Promise<AccessPaths> {
  const engine = await startServerProcess('engine', [], timing);
  const start = (role: Role) =>
    startServerProcess(role, engine.access.addresses, timing);
  const servers: Record<AccessPath, ServerProcess> = {
    direct: engine,
    'pass-through': await start('pass-through'),
    instance: await start('instance'),
  };
  const clients = {
    direct: createBenchClient(servers.direct.access, PROMPT),
    'pass-through': createBenchClient(servers['pass-through'].access, PROMPT),
    instance: createBenchClient(servers.instance.access, PROMPT),
  };
  return {servers, clients};
}

async function stopAccessPaths({servers, clients}: AccessPaths) {
  for (const accessPath of ACCESS_PATHS) {
    await clients[accessPath].close();
    servers[accessPath].stop();
  }
}

async function measureAll(): Promise<Record<AccessPath, Figures>> {
  const accessPaths = await startAccessPaths({
    tokens: TOKENS,
    betweenTokensMs: 0,
  });
  await measureLatency(accessPaths.clients);
  const figures = {} as Record<AccessPath, Figures>;
  for (const accessPath of ACCESS_PATHS) {
    const latency = readLatency(accessPaths.clients[accessPath]);
    const client = accessPaths.clients[accessPath];
    const load = await measureThroughput(
      client,
      accessPaths.servers[accessPath],
    );
    figures[accessPath] = {...latency, ...load};
  }
  await stopAccessPaths(accessPaths);
  return figures;
}

/** Measures each access path at the load of one instance of a fleet of the design size. */
async function measurePaced() {
  const accessPaths = await startAccessPaths({
    tokens: PACED_TOKENS,
    betweenTokensMs: PACED_BETWEEN_MS,
  });
  for (const accessPath of ACCESS_PATHS) {
    const client = accessPaths.clients[accessPath];
    // Warm-up, until the endpoints' concurrency limits have grown to the load.
    await client.sendMany(PACED_CALLERS, PACED_WARM_UP_MS);
    const load = await measureLoad(
      client,
      accessPaths.servers[accessPath],
      PACED_CALLERS,
    );
    const tokens = load.perSecond * PACED_TOKENS;
    console.log(
      `paced, ${accessPath}: ${tokens.toFixed(0)} tokens/s, ` +
        `${(load.processorShare * 100).toFixed(1)}% of a core, ` +
        `${load.residentMiB.toFixed(0)} MiB`,
    );
  }
  await stopAccessPaths(accessPaths);
}

printReport(await measureAll());
await measurePaced();
