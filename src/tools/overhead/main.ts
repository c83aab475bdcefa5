/**
 * `npm run bench:overhead`: what an instance adds to a call, beside calling
 * the engine stand-in directly and through a bare pass-through, in one run.
 */
import {createBenchClient, type BenchClient} from './client.js';
import {startServerProcess, type Role, type ServerProcess} from './roles.js';

const TOKENS = 32;
const PROMPT = 'is drum 17 accepted at the gate? '.repeat(40);
const WARM_UP_QUESTIONS = 200;
/** One after another, in turn over the three ways, so that noise meets all. */
const LATENCY_QUESTIONS = 2000;
const CALLERS = 32;
const THROUGHPUT_MS = 5000;

type Way = 'direct' | 'pass-through' | 'instance';

interface Figures {
  medianMs: number;
  p99Ms: number;
  firstMedianMs: number;
  firstP99Ms: number;
  perSecond: number;
  processorMsPerQuestion: number;
  residentMiB: number;
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
): Promise<
  Pick<Figures, 'perSecond' | 'processorMsPerQuestion' | 'residentMiB'>
> {
  await client.sendMany(CALLERS, THROUGHPUT_MS / 5);
  const before = await server.measureUsage();
  const startedAt = performance.now();
  const answered = await client.sendMany(CALLERS, THROUGHPUT_MS);
  const elapsedMs = performance.now() - startedAt;
  const after = await server.measureUsage();
  return {
    perSecond: (answered / elapsedMs) * 1000,
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

const engine = await startServerProcess('engine', '', TOKENS);
const start = (role: Role) =>
  startServerProcess(role, engine.place.address, TOKENS);
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
await measureLatency(clients);
const figures = {} as Record<Way, Figures>;
for (const way of Object.keys(servers) as Way[]) {
  const latency = readLatency(clients[way]);
  const throughput = await measureThroughput(clients[way], servers[way]);
  figures[way] = {...latency, ...throughput};
}
printReport(figures);
for (const way of Object.keys(servers) as Way[]) {
  await clients[way].close();
  servers[way].stop();
}
