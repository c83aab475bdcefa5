/** A content that crashes endpoints, sent again and again by many callers. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSilentLog} from '../../common/log.js';
import {RouterError} from '../../common/errors.js';
import type {CrashRecord} from '../../decisions/crash_evidence.js';
import {
  decideQuarantined,
  decideTrials,
} from '../../decisions/crash_suspects.js';
import {createVirtualClock} from '../../common/virtual_clock.js';
import {createMemoryPlatform} from '../../stand_ins/platform/memory_platform.js';
import {StoreError, type TableStore} from '../../stores/table_store.js';
import {TRIAL_SLACK_MS, TRIAL_TIMEOUT_MS} from './constants.js';
import {createTrials, type Trials} from './trials.js';

const RUN_MS = 300;
const DEADLINE_MS = 5000;
const LASTS_MS = 600_000;
/** Sends later than this after the third crash are late. */
const PROPAGATION_MS = 3000;

interface Load {
  hadAnswer: boolean;
  /** Time between two groups of requests, in ms. */
  gapMs: number;
  /** Requests that come at the same moment. */
  together: number;
  instances: number;
  /** Time until all other instances know a crash, in ms. */
  knownAfterMs: number;
  /** Whether the store rejects the first instance, which learns no crash. */
  isFirstRejected?: boolean;
}

const AWAY: TableStore = {
  get: () => Promise.reject(new StoreError('rejected', 'none')),
  query: () => Promise.reject(new StoreError('rejected', 'none')),
  transact: () => Promise.reject(new StoreError('rejected', 'none')),
};

function buildTrials(
  table: TableStore,
  readTime: () => number,
  clock = createVirtualClock(),
): Trials {
  const log = createSilentLog();
  return createTrials({clock, log, table, shards: 8, readTime});
}

/** Returns the number of late sends over LASTS_MS. */
async function countLateSends(load: Load): Promise<number> {
  let now = 0;
  const shared = buildTrials(createMemoryPlatform().table, () => now);
  const rejected = buildTrials(AWAY, () => now);
  const records: (CrashRecord & {seenBy: number})[] = [];
  const sentAt: number[] = [];
  let arrivals = 0;

  function listKnown(instance: number): CrashRecord[] {
    const isRejected = load.isFirstRejected && instance === 0;
    return records.filter(({endedAt, seenBy}) => {
      if (seenBy === instance) return endedAt <= now;
      return !isRejected && endedAt + load.knownAfterMs <= now;
    });
  }

  async function sendFrom(instance: number) {
    const known = listKnown(instance);
    const held = decideQuarantined(known, now).get('x');
    if (held && held.until > now) return;
    const isTrial = decideTrials(known, now).has('x');
    if (isTrial) {
      const isRejected = load.isFirstRejected && instance === 0;
      const trials = isRejected ? rejected : shared;
      try {
        await trials.acquire('x', DEADLINE_MS);
      } catch (error) {
        assert.ok(error instanceof RouterError);
        return;
      }
    }
    sentAt.push(now);
    records.push({
      content: 'x',
      endpoint: `e-${sentAt.length}`,
      endedAt: now + RUN_MS,
      hadAnswer: load.hadAnswer,
      isTrial,
      seenBy: instance,
    });
  }

  for (; now < LASTS_MS; now += load.gapMs) {
    for (let each = 0; each < load.together; each++) {
      await sendFrom(arrivals++ % load.instances);
    }
  }
  const thirdAt = sentAt[2] + RUN_MS;
  return sentAt.filter(at => at > thirdAt + PROPAGATION_MS).length;
}

describe('late sends of a content that crashes every endpoint', () => {
  const cases = [true, false].flatMap(hadAnswer =>
    [700, 2500, 5000].flatMap(gapMs =>
      [1, 3, 5, 20].map(together => ({hadAnswer, gapMs, together})),
    ),
  );

  // Guards against a send by every caller that waited for the end of a quarantine.
  // In the middle of an answer there is one more, since its first crash in a trial
  // leads to a short quarantine only. Three are promised.
  for (const knownAfterMs of [100, 2000]) {
    it(`are one or two where crashes are known after ${knownAfterMs} ms`, async () => {
      for (const each of cases) {
        for (const instances of [4, 360]) {
          const load = {...each, instances, knownAfterMs};
          const late = await countLateSends(load);
          const bound = each.hadAnswer ? 2 : 1;
          assert.ok(
            late <= bound,
            `${late} late sends: ${JSON.stringify(load)}`,
          );
        }
      }
    });
  }

  it('are at most three beside an instance that the store rejects', async () => {
    for (const each of cases) {
      const load = {...each, instances: 4, knownAfterMs: 100};
      const late = await countLateSends({...load, isFirstRejected: true});
      assert.ok(late <= 3, `${late} late sends: ${JSON.stringify(load)}`);
    }
  });
});

describe('a trial', () => {
  function startTrials() {
    const state = {now: 0};
    const {table} = createMemoryPlatform();
    const one = buildTrials(table, () => state.now);
    const other = buildTrials(table, () => state.now);
    return {state, one, other};
  }

  const isHeld = {code: 'quarantined', verdict: 'not-run'};

  it('is held by one run of the fleet until it is released', async () => {
    const {one, other} = startTrials();
    const trial = await one.acquire('x', DEADLINE_MS);
    await assert.rejects(other.acquire('x', DEADLINE_MS), isHeld);
    await other.acquire('y', DEADLINE_MS);
    trial.release();
    await new Promise(setImmediate);
    await other.acquire('x', DEADLINE_MS);
  });

  // Guards against a content that can never run again because the instance that
  // held its trial ended.
  it('expires when its instance ends', async () => {
    const {state, one, other} = startTrials();
    await one.acquire('x', DEADLINE_MS);
    state.now = DEADLINE_MS + TRIAL_SLACK_MS;
    await other.acquire('x', DEADLINE_MS);
  });

  it('is not removed by the release of an earlier one', async () => {
    const {state, one, other} = startTrials();
    const trial = await one.acquire('x', DEADLINE_MS);
    state.now = DEADLINE_MS + TRIAL_SLACK_MS;
    await other.acquire('x', DEADLINE_MS);
    trial.release();
    await new Promise(setImmediate);
    await assert.rejects(one.acquire('x', DEADLINE_MS), isHeld);
  });

  describe('while the store does not answer', () => {
    /** Starts trials whose store begins a transaction, and ends it with `finish`. */
    function startSlow() {
      const clock = createVirtualClock();
      const {table} = createMemoryPlatform();
      let finish = () => {};
      const finished = new Promise<void>(resolve => (finish = resolve));
      const slow: TableStore = {
        ...table,
        async transact(operations) {
          await finished;
          return table.transact(operations);
        },
      };
      const trials = buildTrials(slow, () => clock.now(), clock);
      const other = buildTrials(table, () => clock.now());
      return {clock, trials, other, finish};
    }

    // Guards against a request that holds a slot and waits past its deadline.
    it('is refused in time', async () => {
      for (const timeoutMs of [undefined, 50]) {
        const {clock, trials} = startSlow();
        const acquired = trials.acquire('x', DEADLINE_MS, timeoutMs);
        const refused = assert.rejects(acquired, isHeld);
        await clock.advanceAsync(timeoutMs ?? TRIAL_TIMEOUT_MS);
        await refused;
      }
    });

    // Guards against a lease that blocks a content although nobody runs it.
    it('is released if it is acquired too late', async () => {
      const {clock, trials, other, finish} = startSlow();
      const refused = assert.rejects(trials.acquire('x', DEADLINE_MS), isHeld);
      await clock.advanceAsync(TRIAL_TIMEOUT_MS);
      await refused;
      finish();
      await new Promise(setImmediate);
      await other.acquire('x', DEADLINE_MS);
    });
  });

  it('is not to be had while the store is away', async () => {
    const trials = buildTrials(AWAY, () => 0);
    await assert.rejects(trials.acquire('x', DEADLINE_MS), isHeld);
  });
});
