/**
 * Measures the cost of control traffic for an instance and how it grows. It runs real
 * processes, idle and under light load, and varies one size at a time. docs/CAPACITY.md
 * is computed from the lines fitted to the points.
 */
import {setTimeout as waitMs} from 'node:timers/promises';
import {createBalancer} from '../callers/balancer.js';
import {runOpenLoop} from '../callers/open_loop.js';
import {sendOnlineRequest} from '../callers/online_request.js';
import {ENGINE, MODEL} from '../load/constants.js';
import {
  startLoadFleet,
  type FleetShape,
  type LoadFleet,
} from '../load/load_fleet.js';
import {computeLine} from './line_fit.js';

const SETTLE_MS = 5000;
const MEASURE_MS = 10_000;

/** Prints one line of progress or results. */
export type Print = (line: string) => void;

/** Mean cost of one instance, per second except for memory. */
interface InstanceCost {
  /** Share of a core. */
  cpu: number;
  /** Peak resident memory, in MiB. */
  memory: number;
  /** Table reads and writes. */
  reads: number;
  writes: number;
  /** Bytes read and written. */
  bytes: number;
}

interface Sample {
  cpuMs: number;
  memoryBytes: number;
  reads: number;
  writes: number;
  bytes: number;
}

/** Measurements in which one size varies. */
interface Series {
  name: string;
  sizes: readonly number[];
  buildShape: (size: number) => FleetShape;
  /** Requests per second to the fleet during the measurement. */
  requestRate: (size: number) => number;
}

const BASE_SHAPE: FleetShape = {
  instances: 4,
  endpoints: 4,
  maxConcurrency: 8,
  accountRates: buildAccounts(8),
};

/** In each series one size varies; the others stay as in the base shape. */
const SERIES: readonly Series[] = [
  {
    name: 'instances',
    sizes: [4, 8, 16],
    buildShape: instances => ({...BASE_SHAPE, instances}),
    requestRate: () => 0,
  },
  {
    name: 'accounts',
    sizes: [8, 90, 360],
    buildShape: count => ({...BASE_SHAPE, accountRates: buildAccounts(count)}),
    requestRate: () => 0,
  },
  {
    name: 'endpoints',
    sizes: [4, 12, 32],
    buildShape: endpoints => ({...BASE_SHAPE, endpoints}),
    requestRate: () => 0,
  },
  {
    name: 'requests',
    sizes: [0, 10, 20, 40],
    buildShape: () => BASE_SHAPE,
    requestRate: size => size,
  },
];

function buildAccounts(count: number): Record<string, number> {
  return Object.fromEntries(
    Array.from({length: count}, (_, index) => [`account-${index}`, 100]),
  );
}

/** Measures every series and prints its points and fitted lines. */
export async function measureCapacity(print: Print): Promise<void> {
  for (const series of SERIES) {
    print(`${series.name} varied:`);
    const points: {size: number; cost: InstanceCost}[] = [];
    for (const size of series.sizes) {
      const cost = await measurePoint(series, size);
      points.push({size, cost});
      print(`  ${String(size).padStart(4)}: ${formatCost(cost)}`);
    }
    for (const part of ['cpu', 'memory', 'reads', 'writes', 'bytes'] as const) {
      const line = computeLine(
        points.map(({size, cost}) => ({x: size, y: cost[part]})),
      );
      print(
        `  ${part}: ${line.base.toPrecision(3)} + ${line.slope.toPrecision(3)} for each of ${series.name}`,
      );
    }
  }
}

async function measurePoint(
  series: Series,
  size: number,
): Promise<InstanceCost> {
  const shape = series.buildShape(size);
  const fleet = await startLoadFleet(shape);
  try {
    await waitMs(SETTLE_MS);
    const before = await takeSample(fleet);
    const loadMs = MEASURE_MS;
    await Promise.all([
      waitMs(loadMs),
      sendLoad(fleet, series.requestRate(size), loadMs),
    ]);
    const after = await takeSample(fleet);
    return buildCost(before, after, shape.instances, loadMs / 1000);
  } finally {
    await fleet.stop();
  }
}

async function sendLoad(
  fleet: LoadFleet,
  ratePerSecond: number,
  durationMs: number,
) {
  if (ratePerSecond === 0) return;
  const now = () => performance.now();
  const balancer = createBalancer(
    fleet.instances.map(({callersAddress}) => callersAddress),
  );
  const [key] = Object.values(fleet.keys);
  await runOpenLoop(
    {ratePerSecond, durationMs, seed: 1, now},
    async (intendedAt, index) => {
      const prompt = `question ${index}`;
      await sendOnlineRequest(
        balancer,
        {key, model: MODEL, prompt, maxTokens: ENGINE.tokens, intendedAt},
        now,
      );
    },
  );
}

async function takeSample(fleet: LoadFleet): Promise<Sample> {
  const usages = await Promise.all(
    fleet.instances.map(({child}) => child.measure()),
  );
  const {reads, writes} = fleet.platform.platform.counts;
  return {
    cpuMs: usages.reduce((sum, {cpuMs}) => sum + cpuMs, 0),
    memoryBytes: Math.max(...usages.map(({memoryBytes}) => memoryBytes)),
    reads,
    writes,
    bytes: usages.reduce((sum, {ioBytes}) => sum + ioBytes, 0),
  };
}

function buildCost(
  before: Sample,
  after: Sample,
  instances: number,
  seconds: number,
): InstanceCost {
  const share = (difference: number) => difference / instances / seconds;
  return {
    cpu: share(after.cpuMs - before.cpuMs) / 1000,
    memory: after.memoryBytes / 1024 ** 2,
    reads: share(after.reads - before.reads),
    writes: share(after.writes - before.writes),
    bytes: share(after.bytes - before.bytes),
  };
}

function formatCost({cpu, memory, reads, writes, bytes}: InstanceCost): string {
  return `${(cpu * 100).toFixed(2)}% of a core, ${memory.toFixed(0)} MiB, ${reads.toFixed(2)} reads/s, ${writes.toFixed(3)} writes/s, ${(bytes / 1000).toFixed(1)} KB/s`;
}
