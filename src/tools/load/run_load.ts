/**
 * Runs instances and endpoints as processes under open-loop load and takes the four
 * measures with and without batch work, with one account far over its rate, and with an
 * instance killed, an endpoint frozen and the store down. Duration and number of
 * processes are bounded.
 */
import {setTimeout as waitMs} from 'node:timers/promises';
import {request} from 'undici';
import {createBalancer, type Balancer} from '../callers/balancer.js';
import {
  awaitBundle,
  checkOutput,
  sendBundle,
  type BundleCaller,
} from '../callers/bundle.js';
import {
  createCallerMeasures,
  type CallerSummary,
} from '../callers/caller_measures.js';
import {createIdealBucket, type IdealBucket} from '../callers/ideal_bucket.js';
import {runOpenLoop} from '../callers/open_loop.js';
import {sendOnlineRequest} from '../callers/online_request.js';
import {
  ACCOUNT_RATES,
  ENDPOINTS,
  ENGINE,
  GREEDY_ACCOUNT,
  GREEDY_FACTOR,
  INSTANCES,
  MAX_CONCURRENCY,
  MODEL,
  USED_SHARE,
} from './constants.js';
import {startLoadFleet, type LoadFleet} from './load_fleet.js';

const WARM_UP_MS = 4000;
const PHASE_MS = 12_000;
const FAULTS_MS = 24_000;
const KILL_AT_MS = 3000;
const FREEZE_AT_MS = 8000;
const STORE_DOWN_AT_MS = 12_000;
const STORE_UP_AT_MS = 18_000;
const ITEMS = 10_000;
const SUCCEEDED_PATTERN =
  /mulberry_batch_items_total\{event="succeeded"\} (\d+)/;
const BUNDLE_TIMEOUT_MS = 90_000;

/** Prints one line of progress or results. */
export type Print = (line: string) => void;

interface LoadRun {
  fleet: LoadFleet;
  balancer: Balancer;
  /** Shared by all phases, because the accounts' real buckets persist as well. */
  ideal: Map<string, IdealBucket>;
  planner: BundleCaller;
  jobId: string;
  print: Print;
}

const now = () => performance.now();

/** Runs all phases and prints their measures. */
export async function runLoad(print: Print): Promise<void> {
  print(`starting a fleet for ${Object.keys(ACCOUNT_RATES).length} accounts`);
  const fleet = await startLoadFleet({
    instances: INSTANCES,
    endpoints: ENDPOINTS,
    maxConcurrency: MAX_CONCURRENCY,
    accountRates: ACCOUNT_RATES,
  });
  const balancer = createBalancer(
    fleet.instances.map(({callersAddress}) => callersAddress),
  );
  const ideal = new Map(
    Object.entries(ACCOUNT_RATES).map(([account, rate]) => [
      account,
      createIdealBucket(rate, rate),
    ]),
  );
  const planner = {balancer, key: fleet.keys.planner, now};
  try {
    await runPhase({fleet, balancer, ideal}, 'warm-up', WARM_UP_MS, print);
    const alone = await runPhase(
      {fleet, balancer, ideal},
      'online alone',
      PHASE_MS,
      print,
    );
    const jobId = await sendBundle(planner, {
      model: MODEL,
      items: ITEMS,
      maxTokens: ENGINE.tokens,
      idempotencyKey: 'load-1',
    });
    await showBatchPhases(
      {fleet, balancer, ideal, planner, jobId, print},
      alone,
    );
  } finally {
    const codes = await fleet.stop();
    print(`exit codes of instances: ${codes.join(' ')}`);
  }
}

async function showBatchPhases(run: LoadRun, alone: CallerSummary) {
  const {print, planner, jobId} = run;
  await waitMs(WARM_UP_MS);
  const before = await countItems(run.fleet);
  const startedAt = now();
  const beside = await runPhase(run, 'online beside batch', PHASE_MS, print);
  const items = (await countItems(run.fleet)) - before;
  const itemsPerSecond = (items / (now() - startedAt)) * 1000;
  const greedy = await runPhase(run, 'one account at 5x', PHASE_MS, print, {
    [GREEDY_ACCOUNT]: GREEDY_FACTOR,
  });
  const [faulted] = await Promise.all([
    runPhase(run, 'faults', FAULTS_MS, print),
    injectFaults(run),
  ]);
  const progress = await awaitBundle(planner, jobId, BUNDLE_TIMEOUT_MS);
  print(`bundle: ${JSON.stringify(progress ?? 'not complete in time')}`);
  const output = progress && (await checkOutput(planner, jobId, ITEMS));
  print(`output: ${JSON.stringify(output)}`);
  await printUsage(run);
  print('');
  print('the four measures');
  const bound = computeIdleBound();
  print(
    `  batch throughput: ${itemsPerSecond.toFixed(0)} items/s, ${(itemsPerSecond / bound).toFixed(2)} of the idle bound ${bound.toFixed(0)}`,
  );
  print(
    `  online p99 first token beside batch over alone: ${(beside.firstToken.p99 / alone.firstToken.p99).toFixed(2)}`,
  );
  const shares = Object.entries(greedy.answeredShares)
    .filter(([account]) => account !== GREEDY_ACCOUNT)
    .map(([, share]) => share)
    .sort((a, b) => a - b);
  print(
    `  worst account inside its rate over the median, beside 5x: ${(shares[0] / shares[Math.floor(shares.length / 2)]).toFixed(3)}`,
  );
  for (const [name, summary] of Object.entries({alone, beside, faulted})) {
    print(`  wrongful refusals ${name}: ${describeRefusals(summary)}`);
  }
}

/** Sums the items that succeeded so far, from the instances' metrics. */
async function countItems({instances}: LoadFleet): Promise<number> {
  const counts = await Promise.all(
    instances.map(async ({operatorsAddress}) => {
      const answer = await request(`http://${operatorsAddress}/metrics`);
      const match = SUCCEEDED_PATTERN.exec(await answer.body.text());
      return Number(match?.[1] ?? 0);
    }),
  );
  return counts.reduce((sum, count) => sum + count, 0);
}

/** Items per second that the endpoints' slots could run beside the online load. */
function computeIdleBound(): number {
  const itemMs =
    ENGINE.firstTokenMs + (ENGINE.tokens - 1) * ENGINE.betweenTokensMs;
  const capacity = (ENDPOINTS * MAX_CONCURRENCY * 1000) / itemMs;
  return capacity - computeOnlineRate({});
}

function computeOnlineRate(factors: Record<string, number>): number {
  return Object.entries(ACCOUNT_RATES)
    .map(([account, rate]) => rate * USED_SHARE * (factors[account] ?? 1))
    .reduce((sum, rate) => sum + rate, 0);
}

function describeRefusals(summary: CallerSummary): string {
  const {outcomes, sent, wrongfulRefusals} = summary;
  const refused = Object.values(wrongfulRefusals).reduce((a, b) => a + b, 0);
  return `${refused} of ${sent} (${((100 * refused) / sent).toFixed(2)}%), broken or failed ${(outcomes.broken ?? 0) + (outcomes.failed ?? 0)}`;
}

async function injectFaults({fleet, print}: LoadRun) {
  await waitMs(KILL_AT_MS);
  fleet.instances[0].child.signal('SIGKILL');
  print('  (an instance is killed)');
  await waitMs(FREEZE_AT_MS - KILL_AT_MS);
  fleet.engines[0].signal('SIGSTOP');
  print('  (an endpoint is frozen)');
  await waitMs(STORE_DOWN_AT_MS - FREEZE_AT_MS);
  fleet.platform.platform.faults.down = true;
  print('  (the store is down)');
  await waitMs(STORE_UP_AT_MS - STORE_DOWN_AT_MS);
  fleet.platform.platform.faults.down = false;
  print('  (the store is up)');
}

/** Runs one phase of online load; `factors` multiplies the load of some accounts. */
async function runPhase(
  {fleet, balancer, ideal}: Pick<LoadRun, 'fleet' | 'balancer' | 'ideal'>,
  name: string,
  durationMs: number,
  print: Print,
  factors: Record<string, number> = {},
): Promise<CallerSummary> {
  const measures = createCallerMeasures();
  const loops = Object.entries(ACCOUNT_RATES).map(([account, rate], seed) =>
    runOpenLoop(
      {
        ratePerSecond: rate * USED_SHARE * (factors[account] ?? 1),
        durationMs,
        seed: seed + 1,
        now,
      },
      async (intendedAt, index) => {
        const isWithinRate = ideal.get(account)!.draw(intendedAt);
        const result = await sendOnlineRequest(
          balancer,
          {
            key: fleet.keys[account],
            model: MODEL,
            prompt: `${account} drum ${index}`,
            maxTokens: ENGINE.tokens,
            intendedAt,
          },
          now,
        );
        measures.record(account, result, isWithinRate);
      },
    ),
  );
  await Promise.all(loops);
  const summary = measures.summarize();
  const {p50, p95, p99} = summary.firstToken;
  print(
    `${name}: ${summary.sent} sent, ${JSON.stringify(summary.outcomes)}, first token p50 ${p50.toFixed(0)} p95 ${p95.toFixed(0)} p99 ${p99.toFixed(0)} ms, worst/median ${summary.worstOverMedian.toFixed(3)}`,
  );
  for (const [detail, count] of Object.entries(summary.details)) {
    print(`  ${count} x ${detail}`);
  }
  return summary;
}

async function printUsage({fleet, print}: LoadRun) {
  for (const {name, child} of fleet.instances.slice(1)) {
    const usage = await child.measure();
    print(
      `  ${name}: peak ${(usage.memoryBytes / 1024 ** 2).toFixed(0)} MiB, ${(usage.cpuMs / 1000).toFixed(1)} s of CPU`,
    );
  }
}
