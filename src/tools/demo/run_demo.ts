/** Runs the steps of the demo and prints their results; ends within a minute. */
import {withdrawKey} from '../../instance/keys/key_directory.js';
import {createBalancer, type Balancer} from '../callers/balancer.js';
import {
  awaitBundle,
  checkOutput,
  fetchProgress,
  sendBundle,
  type BundleCaller,
} from '../callers/bundle.js';
import {createCallerMeasures} from '../callers/caller_measures.js';
import {runOpenLoop} from '../callers/open_loop.js';
import {
  sendOnlineRequest,
  type OnlineRequest,
} from '../callers/online_request.js';
import {startDemoFleet, type DemoFleet} from './demo_fleet.js';

const MODEL = 'drum-reader-7b';
const ITEMS = 1500;
const MAX_TOKENS = 12;
const ONLINE_RATE = 20;
const ONLINE_PHASE_MS = 5000;
const BUNDLE_TIMEOUT_MS = 25_000;
const WITHDRAWAL_TIMEOUT_MS = 5000;

/** Prints one line of progress or results. */
export type Print = (line: string) => void;

const now = () => performance.now();

/** Runs all steps; throws if one does not show the expected result. */
export async function runDemo(print: Print): Promise<void> {
  print('Starting 3 instances, 12 model engines and the platform.');
  const fleet = await startDemoFleet(withdrawKey);
  const balancer = createBalancer(
    fleet.instances.map(({callersAddress}) => callersAddress),
  );
  try {
    await showSteps(fleet, balancer, print);
  } finally {
    await fleet.stop();
  }
}

async function showSteps(fleet: DemoFleet, balancer: Balancer, print: Print) {
  const planner: BundleCaller = {balancer, key: fleet.keys.planner, now};
  print(`\nOnline requests alone, ${ONLINE_RATE} a second:`);
  const onlineOnly = await measureOnline(fleet, balancer, ONLINE_PHASE_MS, 1);
  printOnline(onlineOnly, print);

  print(`\nA bundle of ${ITEMS} items is submitted.`);
  const submittedAt = now();
  const jobId = await sendBundle(planner, {
    model: MODEL,
    items: ITEMS,
    maxTokens: MAX_TOKENS,
    idempotencyKey: 'evening-1',
  });
  const completion = awaitBundle(planner, jobId, BUNDLE_TIMEOUT_MS).then(
    progress => ({progress, tookMs: now() - submittedAt}),
  );
  await showStream(fleet, balancer, print);

  print('\nThe same online load beside the bundle:');
  const besideBatch = await measureOnline(fleet, balancer, ONLINE_PHASE_MS, 1);
  printOnline(besideBatch, print);

  print('\nOne instance is lost:');
  await fleet.instances.pop()!.halt();
  const afterLoss = await measureOnline(fleet, balancer, ONLINE_PHASE_MS, 2);
  printOnline(afterLoss, print);

  await showWithdrawal(fleet, balancer, print);
  const {progress, tookMs} = await completion;
  if (!progress) {
    const lastProgress = await fetchProgress(planner, jobId);
    throw new Error(
      `the bundle did not complete in time: ${JSON.stringify(lastProgress)}`,
    );
  }
  const output = await checkOutput(planner, jobId, ITEMS);
  print(`\nThe bundle has completed: ${JSON.stringify(output)}`);
  if (output.missing + output.doubled + output.misplaced > 0) {
    throw new Error('the output has missing, duplicated or misplaced items');
  }
  const wrongful = countRefusals(besideBatch) + countRefusals(afterLoss);
  print('\nThe four measures:');
  print(`  batch throughput      ${formatRate(ITEMS, tookMs)} items/s`);
  print(
    `  harm to online tail   p99 ${formatRatio(besideBatch.firstToken.p99, onlineOnly.firstToken.p99)} of the same load without batch`,
  );
  print(
    `  worst account served  ${besideBatch.worstOverMedian.toFixed(3)} of the median`,
  );
  print(
    `  wrongful refusals     ${wrongful} of ${besideBatch.sent + afterLoss.sent}`,
  );
}

async function showStream(fleet: DemoFleet, balancer: Balancer, print: Print) {
  const pieces: string[] = [];
  const result = await sendOnlineRequest(
    balancer,
    {
      ...buildOnlineRequest(fleet.keys.gate, 'is drum 17 accepted', now()),
      onPiece: piece => pieces.push(piece),
    },
    now,
  );
  print(
    `The response to a driver's request is streamed meanwhile, in ${pieces.length} pieces, the first after ${result.firstTokenMs?.toFixed(0)} ms:`,
  );
  print(`  ${pieces.join('|')}`);
}

async function showWithdrawal(
  fleet: DemoFleet,
  balancer: Balancer,
  print: Print,
) {
  const withdrawnAt = now();
  await fleet.withdrawKey(fleet.keys.gateSpareId);
  while (now() - withdrawnAt < WITHDRAWAL_TIMEOUT_MS) {
    const onlineRequest = buildOnlineRequest(
      fleet.keys.gateSpare,
      'still there',
      now(),
    );
    const result = await sendOnlineRequest(balancer, onlineRequest, now);
    if (result.outcome === 'unauthorized') {
      const seconds = ((now() - withdrawnAt) / 1000).toFixed(1);
      print(`\nA key is withdrawn; it stopped working after ${seconds} s.`);
      return;
    }
  }
  throw new Error('a withdrawn key is still accepted');
}

async function measureOnline(
  fleet: DemoFleet,
  balancer: Balancer,
  durationMs: number,
  seed: number,
) {
  const measures = createCallerMeasures();
  const accounts = [
    ['gate', fleet.keys.gate],
    ['planner', fleet.keys.planner],
  ] as const;
  await runOpenLoop(
    {ratePerSecond: ONLINE_RATE, durationMs, seed, now},
    async (intendedAt, index) => {
      const [account, key] = accounts[index % accounts.length];
      const onlineRequest = buildOnlineRequest(
        key,
        `drum ${index}`,
        intendedAt,
      );
      measures.record(
        account,
        await sendOnlineRequest(balancer, onlineRequest, now),
        true,
      );
    },
  );
  return measures.summarize();
}

function buildOnlineRequest(
  key: string,
  prompt: string,
  intendedAt: number,
): OnlineRequest {
  return {key, model: MODEL, prompt, maxTokens: MAX_TOKENS, intendedAt};
}

type Summary = Awaited<ReturnType<typeof measureOnline>>;

function printOnline(summary: Summary, print: Print) {
  const {p50, p99} = summary.firstToken;
  print(
    `  ${summary.sent} sent, ${JSON.stringify(summary.outcomes)}, first token p50 ${p50.toFixed(0)} ms, p99 ${p99.toFixed(0)} ms`,
  );
  for (const [detail, count] of Object.entries(summary.details)) {
    print(`  ${count} x ${detail}`);
  }
}

function countRefusals({outcomes}: Summary): number {
  return (outcomes.limited ?? 0) + (outcomes.refused ?? 0);
}

function formatRate(count: number, tookMs: number): string {
  return ((count / tookMs) * 1000).toFixed(0);
}

function formatRatio(value: number, base: number): string {
  return base > 0 ? (value / base).toFixed(2) : 'n/a';
}
