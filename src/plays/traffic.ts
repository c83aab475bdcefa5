/** The requests of a play: when they come, from whom, and how large. */
import murmurhash from 'murmurhash';
import type {Clock} from '../common/clock.js';
import type {Play, PlayAccount, PlayBatch, PlaySizes} from './play_schema.js';
import {createRandom, type Random} from './random.js';

const MIN_PROMPT_TOKENS = 16;
const MAX_SPREAD_FACTOR = 6;

/** A request on its way through the play. */
export interface PlayRequest {
  id: string;
  account: string;
  weight: number;
  workClass: 'online' | 'batch';
  arrivedAt: number;
  deadline: number;
  promptTokens: number;
  answerTokens: number;
  prefixHashes: readonly string[];
  /** Instance it came in at. */
  instance: number;
  /** Whether it is part of a burst event. */
  isBurst: boolean;
  avoid: string[];
}

/** Produces requests on the play's clock. */
export interface Traffic {
  /** Starts the arrivals of every account. */
  start(): void;
  setLoad(account: string, load: number): void;
  addBurst(account: string, requests: number, withinMs: number): void;
  /** The next item of a batch job. */
  generateItem(batch: PlayBatch): PlayRequest;
}

/** `receive` gets each online request when it arrives. */
export function createTraffic(
  play: Play,
  clock: Clock,
  receive: (request: PlayRequest) => void,
): Traffic {
  // A stream for each account: what one sends does not change another's draws.
  const streams = new Map<string, Random>();
  const loads = new Map(play.accounts.map(({name, load}) => [name, load]));
  let nextId = 0;

  function getStream(name: string): Random {
    const held = streams.get(name);
    if (held) return held;
    const made = createRandom(play.seed * 7919 + murmurhash.v3(name));
    streams.set(name, made);
    return made;
  }

  function generateSizes(
    id: string,
    sizes: PlaySizes,
    owner: string,
    random: Random,
  ) {
    const {blockTokens} = play.engine;
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
    account: PlayAccount,
    isBurst: boolean,
    random: Random,
  ): PlayRequest {
    const id = `q${nextId++}`;
    const instance =
      random.draw() < account.skew
        ? 0
        : Math.floor(random.draw() * play.instances);
    return {
      id,
      account: account.name,
      weight: account.weight,
      workClass: 'online',
      arrivedAt: clock.now(),
      deadline: clock.now() + account.deadlineMs,
      ...generateSizes(id, account.sizes, account.name, random),
      instance,
      isBurst,
      avoid: [],
    };
  }

  function scheduleArrival(account: PlayAccount) {
    const random = getStream(account.name);
    const load = loads.get(account.name)!;
    // An idle account looks again soon, in case an event gives it load.
    const wait = load > 0 ? random.drawExponential(1000 / load) : 100;
    clock.schedule(wait, () => {
      if (load > 0) receive(generateRequest(account, false, random));
      scheduleArrival(account);
    });
  }

  return {
    start() {
      play.accounts.forEach(scheduleArrival);
    },
    setLoad(account, load) {
      loads.set(account, load);
    },
    addBurst(name, requests, withinMs) {
      const account = play.accounts.find(known => known.name === name);
      if (!account) throw new Error(`no account '${name}' in ${play.name}`);
      const random = getStream(`burst-${name}`);
      for (let count = 0; count < requests; count++) {
        clock.schedule(random.draw() * withinMs, () =>
          receive(generateRequest(account, true, random)),
        );
      }
    },
    generateItem(batch) {
      const random = getStream(`batch-${play.batch.indexOf(batch)}`);
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

/** Log-normal, cut off so that one draw cannot outweigh a whole play. */
function drawSize(median: number, spread: number, random: Random): number {
  const drawn = spread > 0 ? random.drawLogNormal(median, spread) : median;
  return Math.max(1, Math.round(Math.min(drawn, median * MAX_SPREAD_FACTOR)));
}
