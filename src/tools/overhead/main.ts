/**
 * `npm run bench:overhead`: what an instance adds to a call, beside calling
 * the engine stand-in directly and through a bare pass-through, in one run.
 */
import {createBenchClient, type BenchClient} from './client.js';
import {
  startServerProcess,
  type EnginePace,
  type Role,
  type ServerProcess,
} from './roles.js';

const TOKENS = 32;
const PROMPT = 'is drum 17 accepted at the gate? '.repeat(40);
const WARM_UP_QUESTIONS = 200;
/** One after another, in turn over the three ways, so that noise meets all. */
const LATENCY_QUESTIONS = 2000;
const CALLERS = 32;
const THROUGHPUT_MS = 5000;

/**
 * An instance's share of the load to design for: 820,000 tokens a second over
 * 360 instances, 64 ms between two tokens of a stream.
 */
const PACED_CALLERS = 146;
const PACED_TOKENS = 64;
const PACED_BETWEEN_MS = 64;
const PACED_WARM_UP_MS = 4000;

const WAYS = ['direct', 'pass-through', 'instance'] as const;

type Way = (typeof WAYS)[number];

interface Ways {
  servers: Record<Way, ServerProcess>;
  clients: Record<Way, BenchClient>;
}

interface Load {
  perSecond: number;
  processorMsPerQuestion: number;
  /** Of one core. */
  processorShare: number;
  residentMiB: number;
}

interface Figures extends Load {
  medianMs: number;
  p99Ms: number;
  firstMedianMs: number;
  firstP99Ms: number;
}

async function measureLatency(clients: Record<Way, BenchClient>) {
  const all = Object.values(clients);
  for (let question = 0; question < WARM_UP_QUESTIONS; question++) {
    for (const client of all) await client.sendQuestion();
  }
  for (const client of all) {
    client.total.reset();
    client.firstByte.reset();
  }
  for (let question = 0; question < LATENCY_QUESTIONS; question++) {
    for (const client of all) await client.sendQuestion();
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
  const answered = await client.sendMany(callers, THROUGHPUT_MS);
  const elapsedMs = performance.now() - startedAt;
  const after = await server.measureUsage();
  return {
    perSecond: (answered / elapsedMs) * 1000,
    processorShare: (after.processorMs - before.processorMs) / elapsedMs,
    processorMsPerQuestion: (after.processorMs - before.processorMs) / answered,
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

function printReport(figures: Record<Way, Figures>) {
  const rows = Object.entries(figures).map(([way, row]) => ({
    way,
    ...Object.fromEntries(
      Object.entries(row).map(([name, value]) => [name, value.toFixed(3)]),
    ),
  }));
  console.table(rows);
  const {direct, 'pass-through': bare, instance} = figures;
  const added = (name: 'medianMs' | 'p99Ms' | 'firstMedianMs') =>
    `${(instance[name] - direct[name]).toFixed(3)} ms by the instance, ` +
    `${(bare[name] - direct[name]).toFixed(3)} ms by the pass-through`;
  console.log(`added at the median: ${added('medianMs')}`);
  console.log(`added at the 99th percentile: ${added('p99Ms')}`);
  console.log(`added to the first byte: ${added('firstMedianMs')}`);
  const processorRatio =
    instance.processorMsPerQuestion / bare.processorMsPerQuestion;
  console.log(
    `processor time a question (${TOKENS} tokens): ` +
      `${processorRatio.toFixed(2)} of the pass-through`,
  );
}

async function startWays(pace: EnginePace): Promise<Ways> {
  const engine = await startServerProcess('engine', [], pace);
  const start = (role: Role) =>
    startServerProcess(role, engine.place.addresses, pace);
  const servers: Record<Way, ServerProcess> = {
    direct: engine,
    'pass-through': await start('pass-through'),
    instance: await start('instance'),
  };
  const clients = {
    direct: createBenchClient(servers.direct.place, PROMPT),
    'pass-through': createBenchClient(servers['pass-through'].place, PROMPT),
    instance: createBenchClient(servers.instance.place, PROMPT),
  };
  return {servers, clients};
}

async function stopWays({servers, clients}: Ways) {
  for (const way of WAYS) {
    await clients[way].close();
    servers[way].stop();
  }
}

async function measureAll(): Promise<Record<Way, Figures>> {
  const ways = await startWays({tokens: TOKENS, betweenTokensMs: 0});
  await measureLatency(ways.clients);
  const figures = {} as Record<Way, Figures>;
  for (const way of WAYS) {
    const latency = readLatency(ways.clients[way]);
    const client = ways.clients[way];
    const load = await measureThroughput(client, ways.servers[way]);
    figures[way] = {...latency, ...load};
  }
  await stopWays(ways);
  return figures;
}

/** At the load of one instance of the fleet to design for. */
async function measurePaced() {
  const ways = await startWays({
    tokens: PACED_TOKENS,
    betweenTokensMs: PACED_BETWEEN_MS,
  });
  for (const way of WAYS) {
    const client = ways.clients[way];
    // Until the endpoints' concurrency limits have grown to the load.
    await client.sendMany(PACED_CALLERS, PACED_WARM_UP_MS);
    const load = await measureLoad(client, ways.servers[way], PACED_CALLERS);
    const tokens = load.perSecond * PACED_TOKENS;
    console.log(
      `paced, ${way}: ${tokens.toFixed(0)} tokens/s, ` +
        `${(load.processorShare * 100).toFixed(1)}% of a core, ` +
        `${load.residentMiB.toFixed(0)} MiB`,
    );
  }
  await stopWays(ways);
}

printReport(await measureAll());
await measurePaced();
