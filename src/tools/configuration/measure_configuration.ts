/**
 * `npm run bench:configuration`: measures configuration and keys on virtual time, at
 * fleet sizes up to the design size. It measures how long a change takes until it is
 * active on all instances, what it costs the table and the peers, and the effect of a
 * store outage.
 */
import {applyServiceDocument} from '../../instance/configuration/configuration.js';
import {parseServiceDocument} from '../../instance/configuration/service_document.js';
import {giveKey} from '../../instance/keys/key_admin.js';
import {
  createConfigurationFleet,
  type ConfigurationFleet,
} from '../../testing/configuration_fleet.js';
import {ENGINE_DOCUMENT} from '../../testing/fixtures.js';
import {measurePoll} from './measure_poll.js';

const SIZES = [90, 180, 360];
const FAILURE_DOMAINS = 15;
const SERVICES = 23;
const KEYS = 360;
const CHANGES = 8;
const STEP_MS = 100;
const OUTAGE_S = 30;

interface Measurement {
  instances: number;
  storeCallMs: number;
  inForceMedianMs: number;
  inForceMaxMs: number;
  idleReadsPerInstancePerS: number;
  cpuMsPerInstancePerS: number;
  outagePeerCallsPerInstancePerS: number;
  outagePeerCallsMostAskedPerS: number;
  outageRefusals: number;
}

function makeDocument(service: string, rate: number): string {
  const accounts = Array.from(
    {length: KEYS},
    (_, index) => `[account.account-${index}]\nrate = ${rate}/s\nburst = 5\n`,
  );
  const head = ENGINE_DOCUMENT.split('[account.gate]')[0];
  return `${head.replace('name = drum-reader', `name = ${service}`)}${accounts.join('')}`;
}

function listDomains(instances: number): string[] {
  return Array.from(
    {length: instances},
    (_, index) => `domain-${index % FAILURE_DOMAINS}`,
  );
}

/** Creates a fleet on which all documents and keys are active. */
async function createLoadedFleet(instances: number) {
  const fleet = createConfigurationFleet(listDomains(instances));
  const {table} = fleet.platform;
  for (let index = 0; index < SERVICES; index++) {
    await applyServiceDocument(
      table,
      makeDocument(`service-${index}`, 1),
      'ana',
    );
  }
  let secret = '';
  for (let index = 0; index < KEYS; index++) {
    ({secret} = await giveKey(table, `account-${index}`));
  }
  await fleet.clock.advanceAsync(3000);
  return {...fleet, secret};
}

/** Applies a change and returns the time until it is active on every instance, in ms. */
async function measureApplyTime(
  fleet: ConfigurationFleet,
  rate: number,
): Promise<number> {
  const {clock, platform, instances} = fleet;
  let generation = Infinity;
  const startedAt = clock.now();
  let committedAt = Infinity;
  const text = makeDocument('service-0', rate);
  void applyServiceDocument(platform.table, text, 'ana').then(outcome => {
    if (outcome.kind !== 'applied') throw new Error(outcome.kind);
    generation = outcome.generation;
    committedAt = clock.now();
  });
  const isActive = () =>
    instances.every(
      ({configuration}) => configuration.getGeneration() >= generation,
    );
  while (!isActive()) await clock.advanceAsync(STEP_MS);
  return clock.now() - Math.min(committedAt, startedAt + 60_000);
}

/** Counts refusals of a valid key and calls between peers during a store outage. */
async function measureOutage(
  fleet: ConfigurationFleet & {secret: string},
): Promise<{refusals: number; calls: number[]}> {
  const {clock, platform, instances, secret} = fleet;
  platform.faults.down = true;
  const before = instances.map(({answeredPeerCalls: asked}) => asked);
  let refusals = 0;
  for (let second = 0; second < OUTAGE_S; second++) {
    await clock.advanceAsync(1000);
    refusals += instances.filter(
      ({keys}) => keys.authenticate(secret, clock.now()).kind !== 'valid',
    ).length;
  }
  platform.faults.down = false;
  const calls = instances.map(
    ({answeredPeerCalls: asked}, index) => (asked - before[index]) / OUTAGE_S,
  );
  return {refusals, calls};
}

async function measureFleet(
  count: number,
  storeCallMs: number,
): Promise<Measurement> {
  const fleet = await createLoadedFleet(count);
  const {clock, platform} = fleet;
  const cpuBefore = process.cpuUsage();
  const readsBefore = platform.counts.reads;
  await clock.advanceAsync(20_000);
  const cpu = process.cpuUsage(cpuBefore);
  const reads = platform.counts.reads - readsBefore;
  platform.faults.slowMs = storeCallMs;
  const times: number[] = [];
  for (let change = 0; change < CHANGES; change++) {
    times.push(await measureApplyTime(fleet, change + 2));
    await clock.advanceAsync(337 * change);
  }
  times.sort((a, b) => a - b);
  platform.faults.slowMs = 0;
  await clock.advanceAsync(5000);
  const {refusals, calls} = await measureOutage(fleet);
  return {
    instances: count,
    storeCallMs,
    inForceMedianMs: times[Math.floor(times.length / 2)],
    inForceMaxMs: times.at(-1)!,
    idleReadsPerInstancePerS: reads / count / 20,
    cpuMsPerInstancePerS: (cpu.user + cpu.system) / 1000 / count / 20,
    outagePeerCallsPerInstancePerS:
      calls.reduce((sum, perInstance) => sum + perInstance, 0) / count,
    outagePeerCallsMostAskedPerS: Math.max(...calls),
    outageRefusals: refusals,
  };
}

/**
 * Lets only one instance read the table and returns, for each second after, the share of
 * instances that know the table's content, which the others learn through relays.
 */
async function measureRelay(count: number): Promise<number[]> {
  const fleet = createConfigurationFleet(listDomains(count));
  const {clock, instances, platform} = fleet;
  await applyServiceDocument(platform.table, ENGINE_DOCUMENT, 'ana');
  await clock.advanceAsync(3000);
  for (const instance of instances.slice(1)) instance.cutFromStore = true;
  const shares: number[] = [];
  for (let second = 0; second < 10; second++) {
    await clock.advanceAsync(1000);
    const known = instances.filter(
      ({peerSync}) => clock.now() - peerSync.getConfirmedAt() < 3000,
    );
    shares.push(known.length / count);
  }
  return shares;
}

/** Measures the heap that one instance's state takes, in bytes, as a mean over 30. */
async function measureMemory(): Promise<number> {
  global.gc?.();
  const before = process.memoryUsage().heapUsed;
  const fleet = await createLoadedFleet(30);
  global.gc?.();
  const bytes = (process.memoryUsage().heapUsed - before) / 30;
  return fleet.instances.length > 0 ? bytes : 0;
}

/** Measures the processor time to parse a document with all accounts, in ms. */
function measureParse(): number {
  const text = makeDocument('service-0', 1);
  const before = process.cpuUsage();
  for (let run = 0; run < 50; run++) parseServiceDocument(text, 'measured');
  return process.cpuUsage(before).user / 1000 / 50;
}

console.log(
  'reading a document of 360 accounts, ms:',
  measureParse().toFixed(1),
);
const poll = await measurePoll();
console.log(
  `a poll without changes: ${poll.cpuMs.toFixed(2)} ms of processor with the stand-in, ${poll.bytes.toFixed(0)} bytes`,
);
console.log(
  'state of one instance, MB:',
  ((await measureMemory()) / 1e6).toFixed(2),
);
console.log(
  'share of 360 that knows the table, one reader, each second:',
  (await measureRelay(360)).map(share => share.toFixed(2)).join(' '),
);
for (const count of SIZES) {
  console.log(JSON.stringify(await measureFleet(count, 20)));
}
console.log(JSON.stringify(await measureFleet(360, 500)));
