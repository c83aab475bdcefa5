/** Generates the requests of a scenario: arrival times, accounts and sizes. */
import murmurhash from 'murmurhash';
import type {Clock} from '../common/clock.js';
import type {
  Scenario,
  ScenarioAccount,
  ScenarioBatch,
  RequestSizes,
} from './scenario_schema.js';
import {createRandom, type Random} from './random.js';

const MIN_PROMPT_TOKENS = 16;
const MAX_SIZE_FACTOR = 6;

/** A request in a simulation. */
export interface SimulatedRequest {
  id: string;
  account: string;
  weight: number;
  workClass: 'online' | 'batch';
  arrivedAt: number;
  deadline: number;
  targetAt?: number;
  promptTokens: number;
  answerTokens: number;
  prefixHashes: readonly string[];
  /** Index of the instance that received it. */
  instance: number;
  /** Whether it belongs to a burst event. */
  isBurst: boolean;
  avoid: string[];
}

/** Generates requests on the clock of the simulation. */
export interface Traffic {
  /** Starts generating the requests of every account. */
  start(): void;
  setLoad(account: string, load: number): void;
  addBurst(account: string, requests: number, withinMs: number): void;
  /** Generates the next item of a batch job. */
  generateItem(batch: ScenarioBatch): SimulatedRequest;
}

/** Creates the traffic; `receive` gets each online request on its arrival. */
export function createTraffic(
  scenario: Scenario,
  clock: Clock,
  receive: (request: SimulatedRequest) => void,
): Traffic {
  // Each account has its own stream, so its load does not affect other accounts.
  const streams = new Map<string, Random>();
  const loads = new Map(scenario.accounts.map(({name, load}) => [name, load]));
  let nextId = 0;

  function getStream(name: string): Random {
    const existing = streams.get(name);
    if (existing) return existing;
    const created = createRandom(scenario.seed * 7919 + murmurhash.v3(name));
    streams.set(name, created);
    return created;
  }

  function generateSizes(
    id: string,
    sizes: RequestSizes,
    owner: string,
    random: Random,
  ) {
    const {blockTokens} = scenario.engine;
    const template =
      random.draw() < sizes.hot
        ? 0
        : Math.floor(random.draw() * sizes.templates);
    const promptTokens = drawSize(sizes.prompt, sizes.spread, random);
    const answerTokens = drawSize(sizes.answer, sizes.spread, random);
    const blocks = Math.floor(promptTokens / blockTokens);
    const shared = Math.floor(sizes.shared / blockTokens);
    const prefixHashes = Array.from({length: blocks}, (_, block) =>
      block < shared ? `${owner}/${template}/${block}` : `${id}/${block}`,
    );
    return {
      promptTokens: Math.max(MIN_PROMPT_TOKENS, promptTokens),
      answerTokens,
      prefixHashes,
    };
  }

  function generateRequest(
    account: ScenarioAccount,
    isBurst: boolean,
    random: Random,
  ): SimulatedRequest {
    const id = `q${nextId++}`;
    const instance =
      random.draw() < account.skew
        ? 0
        : Math.floor(random.draw() * scenario.instances);
    return {
      id,
      account: account.name,
      weight: account.weight,
      workClass: 'online',
      arrivedAt: clock.now(),
      deadline: clock.now() + account.deadlineMs,
      targetAt: account.targetMs && clock.now() + account.targetMs,
      ...generateSizes(id, account.sizes, account.name, random),
      instance,
      isBurst,
      avoid: [],
    };
  }

  function scheduleArrival(account: ScenarioAccount) {
    const random = getStream(account.name);
    const load = loads.get(account.name)!;
    // An idle account checks again in 100 ms, in case an event gives it load.
    const wait = load > 0 ? random.drawExponential(1000 / load) : 100;
    clock.schedule(wait, () => {
      if (load > 0) receive(generateRequest(account, false, random));
      scheduleArrival(account);
    });
  }

  return {
    start() {
      scenario.accounts.forEach(scheduleArrival);
    },
    setLoad(account, load) {
      loads.set(account, load);
    },
    addBurst(name, requests, withinMs) {
      const account = scenario.accounts.find(known => known.name === name);
      if (!account) throw new Error(`no account '${name}' in ${scenario.name}`);
      const random = getStream(`burst-${name}`);
      for (let count = 0; count < requests; count++) {
        clock.schedule(random.draw() * withinMs, () =>
          receive(generateRequest(account, true, random)),
        );
      }
    },
    generateItem(batch) {
      const random = getStream(`batch-${scenario.batch.indexOf(batch)}`);
      const id = `b${nextId++}`;
      return {
        id,
        account: batch.account,
        weight: 1,
        workClass: 'batch',
        arrivedAt: clock.now(),
        deadline: Infinity,
        ...generateSizes(id, batch.sizes, `job-${batch.account}`, random),
        instance: 0,
        isBurst: false,
        avoid: [],
      };
    },
  };
}

/** Draws a log-normal size, with a limit so that no request dominates a run. */
function drawSize(median: number, spread: number, random: Random): number {
  const drawn = spread > 0 ? random.drawLogNormal(median, spread) : median;
  return Math.max(1, Math.round(Math.min(drawn, median * MAX_SIZE_FACTOR)));
}
