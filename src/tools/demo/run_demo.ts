/** The story of the demo, step by step; ends by itself within a minute. */
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
import {askQuestion, type Question} from '../callers/question.js';
import {startDemoFleet, type DemoFleet} from './demo_fleet.js';

const MODEL = 'drum-reader-7b';
const ITEMS = 1500;
const MAX_TOKENS = 12;
const ONLINE_RATE = 20;
const QUIET_MS = 5000;
const BUNDLE_TIMEOUT_MS = 25_000;
const WITHDRAWAL_TIMEOUT_MS = 5000;

/** Writes one line for the person who watches. */
export type Print = (line: string) => void;

const now = () => performance.now();

/** Runs all steps; throws when one does not hold what it claims. */
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
  print(`\nOnline questions alone, ${ONLINE_RATE} a second:`);
  const quiet = await measureOnline(fleet, balancer, QUIET_MS, 1);
  printOnline(quiet, print);

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
  const busy = await measureOnline(fleet, balancer, QUIET_MS, 1);
  printOnline(busy, print);

  print('\nOne instance is lost:');
  await fleet.instances.pop()!.halt();
  const bereft = await measureOnline(fleet, balancer, QUIET_MS, 2);
  printOnline(bereft, print);

  await showWithdrawal(fleet, balancer, print);
  const {progress, tookMs} = await completion;
  if (!progress) {
    const reached = await fetchProgress(planner, jobId);
    throw new Error(`the bundle is at ${JSON.stringify(reached)}`);
  }
  const output = await checkOutput(planner, jobId, ITEMS);
  print(`\nThe bundle is back: ${JSON.stringify(output)}`);
  if (output.missing + output.doubled + output.misplaced > 0) {
    throw new Error('the bundle did not come back whole');
  }
  const wrongful = countRefusals(busy) + countRefusals(bereft);
  print('\nThe four measures:');
  print(`  batch throughput      ${formatRate(ITEMS, tookMs)} items/s`);
  print(
    `  harm to online tail   p99 ${formatRatio(busy.firstToken.p99, quiet.firstToken.p99)} of the same load without batch`,
  );
  print(
    `  worst account served  ${busy.worstOverMedian.toFixed(3)} of the median`,
  );
  print(`  wrongful refusals     ${wrongful} of ${busy.sent + bereft.sent}`);
}

async function showStream(fleet: DemoFleet, balancer: Balancer, print: Print) {
  const pieces: string[] = [];
  const result = await askQuestion(
    balancer,
    {
      ...buildQuestion(fleet.keys.gate, 'is drum 17 accepted', now()),
      onPiece: piece => pieces.push(piece),
    },
    now,
  );
  print(
    `A driver's question streams meanwhile, in ${pieces.length} pieces, the first after ${result.firstTokenMs?.toFixed(0)} ms:`,
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
    const question = buildQuestion(fleet.keys.gateSpare, 'still there', now());
    const result = await askQuestion(balancer, question, now);
    if (result.outcome === 'unauthorized') {
      const seconds = ((now() - withdrawnAt) / 1000).toFixed(1);
      print(`\nA key is withdrawn; it stopped working after ${seconds} s.`);
      return;
    }
  }
  throw new Error('a withdrawn key still works');
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
    async (askedAt, index) => {
      const [account, key] = accounts[index % accounts.length];
      const question = buildQuestion(key, `drum ${index}`, askedAt);
      measures.record(
        account,
        await askQuestion(balancer, question, now),
        true,
      );
    },
  );
  return measures.summarize();
}

function buildQuestion(key: string, prompt: string, askedAt: number): Question {
  return {key, model: MODEL, prompt, maxTokens: MAX_TOKENS, askedAt};
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
