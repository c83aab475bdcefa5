/**
 * `npm run measure:limits`: measures on virtual time how many requests the limits refuse
 * wrongly and what they cost, compared with a static division of each rate over the
 * instances. The same seed gives the same figures.
 */
import {createRandom, type Random} from '../plays/random.js';
import {startLimitsFleet, type LimitsFleet} from '../testing/limits_fleet.js';
import {
  createIdealBucket,
  createRateOracle,
  type IdealBucket,
  type RateOracle,
} from '../testing/rate_oracle.js';
import {
  LIMITS_SCENARIOS,
  type AccountLoad,
  type LimitsScenario,
} from './limits_scenarios.js';

const INSTANCES = 10;
const DOMAINS = ['klang-a', 'klang-b', 'penang-a', 'johor-a'];
const SEEDS = [1, 2, 3];
const SERVICE = 'drum-reader';
const WARM_UP_MS = 5000;

interface Account {
  load: AccountLoad;
  ideal: IdealBucket;
  oracle: RateOracle;
  /** Uneven weights with which a balancer picks the instances. */
  instanceWeights: number[];
  /** The baseline: one bucket for each instance, with an equal part of the rate. */
  dividedBuckets: IdealBucket[];
  offered: number;
  /** Requests that one ideal bucket for the fleet grants. */
  allowed: number;
  granted: number;
  wrongRefusals: number;
  wrongRefusalsDivided: number;
  grantedDivided: number;
  waitedMs: number[];
}

interface Figures {
  offered: number;
  wrongRefusals: number;
  wrongRefusalsDivided: number;
  granted: number;
  allowed: number;
  grantedDivided: number;
  excess: number;
  messagesPerS: number;
  bytesPerS: number;
  waitP99Ms: number;
}

function createAccount(load: AccountLoad, random: Random): Account {
  const order = Array.from({length: INSTANCES}, () => random.draw());
  const ranks = order.map(
    value => order.filter(other => other > value).length + 1,
  );
  return {
    load,
    ideal: createIdealBucket(load),
    oracle: createRateOracle(load),
    instanceWeights: ranks.map(rank => 1 / rank),
    dividedBuckets: ranks.map(() =>
      createIdealBucket({
        rate: load.rate / INSTANCES,
        burst: Math.max(1, load.burst / INSTANCES),
      }),
    ),
    offered: 0,
    allowed: 0,
    granted: 0,
    wrongRefusals: 0,
    wrongRefusalsDivided: 0,
    grantedDivided: 0,
    waitedMs: [],
  };
}

/** Picks one of the running instances, as a balancer does. */
function pickInstance(fleet: LimitsFleet, account: Account, random: Random) {
  const weights = account.instanceWeights.map((weight, index) =>
    fleet.instances.has(fleet.names[index]) ? weight : 0,
  );
  return random.pickWeighted(weights);
}

function sendRequest(fleet: LimitsFleet, account: Account, random: Random) {
  const {load} = account;
  const now = fleet.clock.now();
  const isWithinRate = account.ideal.take(now);
  if (load.conforming && !isWithinRate) return;
  const index = pickInstance(fleet, account, random);
  account.offered++;
  if (isWithinRate) account.allowed++;
  const isGrantedDivided = account.dividedBuckets[index].take(now);
  if (isGrantedDivided) account.grantedDivided++;
  else if (isWithinRate) account.wrongRefusalsDivided++;
  const {limits} = fleet.instances.get(fleet.names[index])!;
  void limits
    .acquire(
      {service: SERVICE, account: load.account},
      {rate: load.rate, burst: load.burst, weight: 1},
    )
    .then(decision => {
      account.waitedMs.push(fleet.clock.now() - now);
      if (decision.kind === 'refused') {
        if (isWithinRate && load.conforming) account.wrongRefusals++;
        return;
      }
      account.granted++;
      account.oracle.noteGrant(fleet.clock.now());
    });
}

function scheduleRequests(
  fleet: LimitsFleet,
  account: Account,
  random: Random,
  until: number,
) {
  const {rate, load} = account.load;
  const delay = random.drawExponential(1000 / (rate * load));
  fleet.clock.schedule(delay, () => {
    if (fleet.clock.now() >= until) return;
    sendRequest(fleet, account, random);
    scheduleRequests(fleet, account, random, until);
  });
}

async function runScenario(
  scenario: LimitsScenario,
  seed: number,
): Promise<Figures> {
  const random = createRandom(seed);
  const fleet = await startLimitsFleet({
    size: INSTANCES,
    domains: DOMAINS,
    findVersion: () => 1,
    listBuckets: () =>
      scenario.accounts.map(({account, rate, burst}) => ({
        bucket: `${SERVICE}/${account}`,
        limits: {version: 1, rate, burst},
      })),
  });
  const accounts = scenario.accounts.map(load => createAccount(load, random));
  const until = fleet.clock.now() + WARM_UP_MS + scenario.durationMs;
  for (const account of accounts) {
    scheduleRequests(fleet, account, random, until);
  }
  await fleet.advance(WARM_UP_MS);
  const before = {...fleet.network.counts};
  scenario.start(fleet);
  await fleet.advance(scenario.durationMs);
  scenario.end(fleet);
  const seconds = (scenario.durationMs / 1000) * INSTANCES;
  const {messages, bytes} = fleet.network.counts;
  await fleet.advance(5000);
  return summarize(
    accounts,
    (messages - before.messages) / seconds,
    (bytes - before.bytes) / seconds,
  );
}

function summarize(
  accounts: Account[],
  messagesPerS: number,
  bytesPerS: number,
): Figures {
  const sum = (read: (account: Account) => number) =>
    accounts.reduce((total, account) => total + read(account), 0);
  const waits = accounts
    .filter(({load}) => load.conforming)
    .flatMap(({waitedMs}) => waitedMs)
    .sort((a, b) => a - b);
  return {
    offered: sum(({offered}) => offered),
    allowed: sum(({allowed}) => allowed),
    granted: sum(({granted}) => granted),
    grantedDivided: sum(({grantedDivided}) => grantedDivided),
    wrongRefusals: sum(({wrongRefusals}) => wrongRefusals),
    wrongRefusalsDivided: sum(({wrongRefusalsDivided}) => wrongRefusalsDivided),
    excess: Math.max(...accounts.map(({oracle}) => oracle.excess)),
    messagesPerS,
    bytesPerS,
    waitP99Ms: waits[Math.floor(waits.length * 0.99)] ?? 0,
  };
}

function formatFigures(name: string, all: Figures[]): string {
  const sum = (read: (figures: Figures) => number) =>
    all.reduce((total, figures) => total + read(figures), 0);
  const mean = (read: (figures: Figures) => number) => sum(read) / all.length;
  const allowed = sum(figures => figures.allowed);
  const percent = (count: number) => `${((100 * count) / allowed).toFixed(3)}%`;
  return [
    name.padEnd(40),
    percent(sum(({wrongRefusals}) => wrongRefusals)).padStart(9),
    percent(sum(({wrongRefusalsDivided}) => wrongRefusalsDivided)).padStart(9),
    (sum(({granted}) => granted) / allowed).toFixed(3).padStart(8),
    (sum(({grantedDivided}) => grantedDivided) / allowed)
      .toFixed(3)
      .padStart(8),
    Math.max(...all.map(({excess}) => excess))
      .toFixed(2)
      .padStart(7),
    mean(({waitP99Ms}) => waitP99Ms)
      .toFixed(0)
      .padStart(9),
    mean(({messagesPerS}) => messagesPerS)
      .toFixed(1)
      .padStart(8),
    mean(({bytesPerS}) => bytesPerS)
      .toFixed(0)
      .padStart(8),
  ].join(' ');
}

const HEADING = [
  'scenario'.padEnd(40),
  '   wrong%',
  ' divided%',
  ' granted',
  ' divided',
  ' excess',
  ' p99wait',
  '  msg/s',
  '    B/s',
].join(' ');

process.stdout.write(`${HEADING}\n`);
for (const scenario of LIMITS_SCENARIOS) {
  const all: Figures[] = [];
  for (const seed of SEEDS) all.push(await runScenario(scenario, seed));
  process.stdout.write(`${formatFigures(scenario.name, all)}\n`);
}
