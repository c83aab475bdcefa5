/**
 * Generates fault scripts for the limits of a fleet, and runs them against the
 * oracle. fast-check generates the scripts and shrinks those that fail.
 */
import fc from 'fast-check';
import {createRandom} from '../plays/random.js';
import {startLimitsFleet, type LimitsFleet} from './limits_fleet.js';
import {createRateOracle, type RateOracle} from './rate_oracle.js';

const SIZE = 5;
const DOMAINS = ['a', 'b', 'c', 'd'];
const BUCKET = {service: 'drum-reader', account: 'gate'};

/** Maximum time until an instance learns of a new document, in ms. */
const PROPAGATION_MS = 2000;

/** Time between two requests, in ms; 50/s exceeds every rate of a script. */
const REQUEST_EVERY_MS = 20;

type InstanceFault =
  | 'kill'
  | 'start'
  | 'stop'
  | 'pause'
  | 'resume'
  | 'isolate'
  | 'mend'
  | 'cut-store'
  | 'mend-store';

/** One step of a fault script; `at` is the index of an instance. */
export type Fault =
  | {kind: 'wait'; ms: number}
  | {kind: InstanceFault; at: number}
  | {kind: 'store-down' | 'store-up' | 'calm'}
  | {kind: 'lose-answers'; count: number}
  | {kind: 'storm'; loss: number; copies: number; delayMs: number}
  | {kind: 'limits'; rate: number; burst: number};

const at = fc.nat(SIZE - 1);

/** Generates one step, which injects a fault or repairs one. */
export const faultArbitrary: fc.Arbitrary<Fault> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.constantFrom(50, 300, 700, 1500, 2500, 5000),
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constantFrom('kill', 'start', 'stop', 'pause', 'resume'),
      at,
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constantFrom('isolate', 'mend', 'cut-store', 'mend-store'),
      at,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constantFrom('store-down', 'store-up', 'calm'),
    }),
  },
  fc.record({
    kind: fc.constant('lose-answers' as const),
    count: fc.integer({min: 1, max: 4}),
  }),
  fc.record({
    kind: fc.constant('storm' as const),
    loss: fc.constantFrom(0.05, 0.3),
    copies: fc.constantFrom(0, 1),
    delayMs: fc.constantFrom(5, 100, 500),
  }),
  fc.record({
    kind: fc.constant('limits' as const),
    rate: fc.constantFrom(5, 20, 40),
    burst: fc.constantFrom(1, 5, 30),
  }),
);

interface Run {
  fleet: LimitsFleet;
  oracle: RateOracle;
  random: () => number;
  limits: {version: number; rate: number; burst: number};
  versions: {rate: number; burst: number; replacedAt: number}[];
}

type FaultHandlers = {
  [Kind in Fault['kind']]: (
    run: Run,
    fault: Kind extends InstanceFault
      ? {at: number}
      : Extract<Fault, {kind: Kind}>,
  ) => unknown;
};

const buildName = (index: number) => `entry-${index}`;

const FAULT_HANDLERS: FaultHandlers = {
  wait: (run, {ms}) => runRequests(run, ms),
  kill: ({fleet}, fault) => fleet.kill(buildName(fault.at)),
  start: async ({fleet}, fault) => {
    const name = buildName(fault.at);
    if (!fleet.instances.has(name)) await fleet.start(name);
  },
  stop: ({fleet}, fault) =>
    void fleet.instances.get(buildName(fault.at))?.stop(),
  pause: ({fleet}, fault) =>
    fleet.instances.get(buildName(fault.at))?.clock.pause(),
  resume: ({fleet}, fault) =>
    fleet.instances.get(buildName(fault.at))?.clock.resume(),
  isolate: ({fleet}, fault) => fleet.setIsolated(buildName(fault.at), true),
  mend: ({fleet}, fault) => fleet.setIsolated(buildName(fault.at), false),
  'cut-store': ({fleet}, fault) => fleet.setStoreCut(buildName(fault.at), true),
  'mend-store': ({fleet}, fault) =>
    fleet.setStoreCut(buildName(fault.at), false),
  'store-down': ({fleet}) => {
    fleet.platform.faults.down = true;
  },
  'store-up': ({fleet}) => {
    fleet.platform.faults.down = false;
  },
  calm: ({fleet}) =>
    fleet.network.setDeliveryPolicy(() => ({
      lost: false,
      copies: 0,
      delayMs: 0.5,
    })),
  'lose-answers': ({fleet}, {count}) => {
    fleet.platform.faults.answersToLose = count;
  },
  storm: ({fleet, random}, {loss, copies, delayMs}) =>
    fleet.network.setDeliveryPolicy(() => ({
      lost: random() < loss,
      copies,
      delayMs: random() * delayMs,
    })),
  limits: (run, {rate, burst}) => replaceLimits(run, rate, burst),
};

/**
 * Replaces the limits. Instances learn of the new ones at different times, so
 * for `PROPAGATION_MS` the oracle accepts every version that was active in that
 * period.
 */
function replaceLimits(run: Run, rate: number, burst: number) {
  const {fleet} = run;
  run.limits = {version: run.limits.version + 1, rate, burst};
  run.versions.push({rate, burst, replacedAt: Infinity});
  run.versions[run.versions.length - 2].replacedAt = fleet.clock.now();
  updateOracle(run);
  fleet.clock.schedule(PROPAGATION_MS, () => updateOracle(run));
}

function updateOracle({fleet, oracle, versions}: Run) {
  const now = fleet.clock.now();
  const acceptedVersions = versions.filter(
    ({replacedAt}) => now - replacedAt < PROPAGATION_MS,
  );
  const rate = Math.max(...acceptedVersions.map(one => one.rate));
  const burst = Math.max(...acceptedVersions.map(one => one.burst));
  oracle.setLimits({rate, burst}, now);
}

async function runRequests(run: Run, ms: number) {
  const {fleet, oracle, random} = run;
  const until = fleet.clock.now() + ms;
  while (fleet.clock.now() < until) {
    const instances = [...fleet.instances.values()];
    const chosen = instances[Math.floor(random() * instances.length)];
    if (chosen) {
      chosen.clock.receive(() => {
        void chosen.limits
          .acquire(BUCKET, {...run.limits, weight: 1})
          .then(decision => {
            if (decision.kind === 'granted') {
              oracle.noteGrant(fleet.clock.now());
            }
          });
      });
    }
    await fleet.advance(REQUEST_EVERY_MS);
  }
}

/** Runs a fault script and returns the oracle with its findings. */
export async function runFaults(
  faults: readonly Fault[],
  seed: number,
): Promise<RateOracle> {
  const random = createRandom(seed).draw;
  const run: Run = {
    fleet: undefined as never,
    oracle: createRateOracle({rate: 20, burst: 10}),
    random,
    limits: {version: 1, rate: 20, burst: 10},
    versions: [{rate: 20, burst: 10, replacedAt: Infinity}],
  };
  run.fleet = await startLimitsFleet({
    size: SIZE,
    domains: DOMAINS,
    findVersion: () => run.limits.version,
    chooseSpeed: index => 1 + (index - 2) * 0.0005,
  });
  await runRequests(run, 1500);
  for (const fault of faults) {
    const handle = FAULT_HANDLERS[fault.kind] as (
      run: Run,
      fault: Fault,
    ) => unknown;
    await handle(run, fault);
  }
  await runRequests(run, 3000);
  return run.oracle;
}
