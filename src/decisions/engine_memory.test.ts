/** Endpoints that crash beyond their memory, under load of mixed sizes. */
import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {describe, it} from 'node:test';
import {createRandom} from '../plays/random.js';
import {
  countMemoryTokens,
  createEngineMemory,
  LEAVING_MS,
  REPORT_FRESH_MS,
  SPLIT_GUARD_MS,
  TAKEOVER_GUARD_MS,
  UNSEEN_RUN_MS,
  type EngineMemory,
} from './engine_memory.js';
import {
  createMemoryPlay,
  createMixedLoad,
  isLarge,
  MEMORY_TOKENS,
  type MemoryResult,
} from './memory_fixtures.js';
import {RESERVE_AFTER_MS} from './memory_waits.js';
import {createPoolScheduler} from './pool_scheduler.js';
import {makeEndpoints, makeRequest} from './scheduler_fixtures.js';
import type {PoolLimits, ScheduledRequest} from './scheduler_types.js';

const WITHOUT_BOUND: PoolLimits = {maxConcurrency: 8};
const LIMITS: PoolLimits = {
  maxConcurrency: 8,
  memory: {tokens: MEMORY_TOKENS, shareTokens: MEMORY_TOKENS, slots: 8},
};
const SEEDS = [1, 2, 3];

function describeResult(result: MemoryResult): string {
  const {waits, refused, ...rest} = result;
  const longest = Math.max(0, ...waits.map(({waitedMs}) => waitedMs));
  return JSON.stringify({...rest, refused: [...refused], longest});
}

/** Returns a load that adds `request` once, at `at`. */
function addOnce(
  load: (now: number) => ScheduledRequest[],
  at: number,
  request: ScheduledRequest,
) {
  return (now: number) => (now === at ? [...load(now), request] : load(now));
}

function findWait({waits}: MemoryResult, {id}: ScheduledRequest): number {
  return waits.find(({request}) => request.id === id)?.waitedMs ?? Infinity;
}

describe('a load of mixed sizes', () => {
  for (const seed of SEEDS) {
    it(`crashes endpoints without the bound (seed ${seed})`, () => {
      const play = createMemoryPlay(6, WITHOUT_BOUND);
      play.run(20_000, createMixedLoad(seed, 40, 0.12));
      assert.ok(play.result.crashes >= 3, describeResult(play.result));
    });

    // Eight slots hold more than the memory when some requests take a third of it.
    it(`crashes none with it (seed ${seed})`, () => {
      const play = createMemoryPlay(6, LIMITS);
      play.run(20_000, createMixedLoad(seed, 40, 0.12));
      const {crashes, lost, refused} = play.result;
      const summary = describeResult(play.result);
      assert.deepEqual([crashes, lost, refused.size], [0, 0, 0], summary);
    });

    // A new dispatcher that adopted slots without their sizes would fill the memory
    // a second time.
    it(`crashes none with a takeover halfway (seed ${seed})`, () => {
      const play = createMemoryPlay(6, LIMITS);
      const load = createMixedLoad(seed, 60, 0.4);
      play.run(10_000, load);
      play.replaceDispatcher();
      play.run(20_000, load);
      const {crashes, lost} = play.result;
      assert.deepEqual([crashes, lost], [0, 0], describeResult(play.result));
    });
  }
});

describe('an account that sends far more than the others', () => {
  const HOT = {account: 'hot', from: 3000, until: 15_000};

  /** Runs the load of all others, with or without the hot account. */
  function runBeside(seed: number, hasHot: boolean, hasTakeover: boolean) {
    const play = createMemoryPlay(6, LIMITS);
    const load = createMixedLoad(seed, 50, 0.12);
    const hotLoad = createMixedLoad(seed + 100, 80, 1);
    const others = new Set<string>();
    function loadAll(now: number) {
      const ordinary = load(now);
      for (const {id} of ordinary) others.add(id);
      if (!hasHot || now < HOT.from || now >= HOT.until) return ordinary;
      const {account} = HOT;
      return [...ordinary, ...hotLoad(now).map(each => ({...each, account}))];
    }
    play.run(9000, loadAll);
    if (hasTakeover) play.replaceDispatcher();
    play.run(20_000, loadAll);
    play.run(26_000, () => []);
    const inTime = play.result.waits.filter(
      ({request, waitedMs}) => others.has(request.id) && waitedMs <= 1000,
    );
    const total = others.size;
    return {result: play.result, late: total - inTime.length, total};
  }

  for (const seed of SEEDS) {
    for (const hasTakeover of [false, true]) {
      // Its large requests would take every place of those that wait for memory,
      // and the requests of all others would wait behind them.
      const name = hasTakeover ? 'and a takeover while it does' : 'alone';
      it(`takes nothing from them, ${name} (seed ${seed})`, () => {
        const before = runBeside(seed, false, hasTakeover);
        const {result, late, total} = runBeside(seed, true, hasTakeover);
        assert.equal(result.crashes, 0);
        // A new dispatcher starts large requests late, more so under load.
        const allowed = before.late + (hasTakeover ? 0.02 * total : 0);
        assert.ok(late <= allowed, `${late} late, ${before.late} without`);
      });
    }
  }
});

describe('online requests in waves beside items of all sizes', () => {
  const TARGET_MS = 800;

  /** Runs 20 s of load with a takeover halfway, and ends what it started. */
  function runWaves(seed: number, limits: PoolLimits) {
    const play = createMemoryPlay(6, limits, ({workClass}) =>
      workClass === 'batch' ? 4000 : 700,
    );
    const load = createMixedLoad(seed, 30, 0.15);
    const random = createRandom(seed + 500);
    const online: ScheduledRequest[] = [];
    function makeItem(now: number) {
      const promptTokens =
        random.draw() < 0.2
          ? Math.floor(MEMORY_TOKENS / 3) - 60
          : 3000 + Math.floor(20_000 * random.draw());
      const deadline = now + 40_000;
      return makeRequest({workClass: 'batch', promptTokens, deadline});
    }
    function loadAll(now: number) {
      // The peak of a wave lasts 2.4 of 5.8 s, at five times the rate between peaks.
      const isPeak = now % 5800 < 2400;
      const arriving = load(now).filter(() => isPeak || random.draw() < 0.2);
      const targetAt = now + TARGET_MS;
      online.push(...arriving.map(each => ({...each, targetAt})));
      const started = online.slice(online.length - arriving.length);
      return now % 150 === 0 ? [...started, makeItem(now)] : started;
    }
    play.run(10_000, loadAll);
    play.replaceDispatcher();
    play.run(20_000, loadAll);
    play.run(40_000, () => []);
    const late = online.filter(
      each => findWait(play.result, each) > TARGET_MS,
    ).length;
    return {...play.result, late, online: online.length};
  }

  for (const seed of SEEDS) {
    // Memory of items that yield is free later than their slots.
    it(`crash no endpoint and start in time (seed ${seed})`, () => {
      const without = runWaves(seed, WITHOUT_BOUND);
      const result = runWaves(seed, LIMITS);
      const {crashes, late, online, answered} = result;
      assert.ok(without.crashes >= 5, `${without.crashes} crashes without`);
      assert.equal(crashes, 0);
      assert.ok(late <= online / 100, `${late} of ${online} late`);
      assert.ok(answered > without.answered, describeResult(result));
    });
  }
});

describe('a large request among small ones', () => {
  const RUN_MS = 700;
  // The other requests fill the memory before they fill the slots.
  const sixth = Math.floor(MEMORY_TOKENS / 6) - 60;
  const load = (now: number) =>
    now % 40 === 0
      ? [makeRequest({promptTokens: sixth, deadline: now + 60_000})]
      : [];

  // Small requests take each piece of memory that becomes free, so without a
  // reservation a large one waits until its deadline.
  it('starts within the reservation time and the run before it', () => {
    const play = createMemoryPlay(3, LIMITS, () => RUN_MS);
    const large = makeRequest({
      promptTokens: MEMORY_TOKENS - 60,
      account: 'large',
      deadline: 30_000,
    });
    play.run(12_000, addOnce(load, 5000, large));
    const waited = findWait(play.result, large);
    assert.ok(waited <= RESERVE_AFTER_MS + RUN_MS + 50, `waited ${waited} ms`);
    assert.equal(play.result.crashes, 0);
  });

  // A large request at the head of a queue must not hold up those that fit.
  it('lets others start while it waits', () => {
    const play = createMemoryPlay(3, LIMITS, () => RUN_MS);
    const few = (now: number) =>
      now % 50 === 0 ? [makeRequest({deadline: now + 60_000})] : [];
    const large = makeRequest({promptTokens: MEMORY_TOKENS - 60});
    play.run(8000, addOnce(few, 5000, large));
    const others = play.result.waits.filter(({request}) => !isLarge(request));
    assert.ok(others.every(({waitedMs}) => waitedMs === 0));
  });
});

describe('items that fill the memory', () => {
  const ITEM_MS = 6000;

  function runItems(play: ReturnType<typeof createMemoryPlay>) {
    play.run(3000, now =>
      now % 20 === 0
        ? [
            makeRequest({
              workClass: 'batch',
              promptTokens: Math.floor(MEMORY_TOKENS / 4) - 60,
              deadline: 60_000,
            }),
          ]
        : [],
    );
  }

  // Slots are free, so no item yields for a slot; without yields for memory an
  // online request waits until an item ends.
  it('yield to an online request that needs it', () => {
    const play = createMemoryPlay(2, LIMITS, ({workClass}) =>
      workClass === 'batch' ? ITEM_MS : 700,
    );
    runItems(play);
    const online = makeRequest({
      promptTokens: Math.floor(MEMORY_TOKENS / 2),
      deadline: 9000,
    });
    play.submit(online);
    play.run(5000, () => []);
    const {crashes, yielded} = play.result;
    const waited = findWait(play.result, online);
    assert.ok(waited <= 400, `waited ${waited} ms`);
    assert.deepEqual([crashes, yielded], [0, 2], 'no more yield than needed');
  });

  it('wait for memory themselves, without a crash', () => {
    const play = createMemoryPlay(2, LIMITS, () => ITEM_MS);
    runItems(play);
    play.run(60_000, () => []);
    assert.equal(play.result.crashes, 0);
    assert.ok(play.result.answered > 20, describeResult(play.result));
  });
});

describe('tokens on one endpoint', () => {
  // With so many slots, no size is small enough to need no guard.
  const limit = {tokens: 1000, shareTokens: 1000, slots: 1000};
  const makeSized = (tokens: number, id?: string) =>
    makeRequest({promptTokens: tokens, answerTokens: 0, ...(id && {id})});

  function countMissing(memory: EngineMemory, tokens: number, now: number) {
    return memory.countMissing(makeSized(tokens), limit, now);
  }

  it('count the largest size that is stated, not the estimate', () => {
    const request = makeRequest({memoryTokens: 900});
    assert.equal(countMemoryTokens(request), 900);
  });

  // The dispatcher that was replaced may grant for some time what is free.
  it('grow after a takeover only in the part that it leaves free', () => {
    const before = createEngineMemory(-10_000);
    before.add(makeSized(400), false, 0);
    assert.equal(countMissing(before, 475, 10), 0);
    assert.equal(countMissing(before, 476, 10), 1);
    const memory = createEngineMemory(0);
    memory.add(makeSized(400), true, 0);
    assert.equal(countMissing(memory, 125, 10), 0);
    memory.add(makeSized(125), false, 10);
    assert.equal(countMissing(memory, 1, 20), 1);
    assert.equal(countMissing(memory, 350, TAKEOVER_GUARD_MS), 0);
    const split = {...limit, shareTokens: 600, isSplit: true};
    const request = makeSized(1);
    const isFull = memory.countMissing(request, split, SPLIT_GUARD_MS - 1) > 0;
    assert.ok(isFull, 'longer in a split fleet');
  });

  // Guards against a service whose requests are small, and that loses most of its
  // slots for seconds after each takeover.
  it('grow at once by sizes of which twice all slots fit', () => {
    const few = {...limit, slots: 8};
    const memory = createEngineMemory(0);
    for (let slot = 0; slot < few.slots; slot++) {
      assert.ok(memory.countMissing(makeSized(62), few, 10) <= 0, `${slot}`);
      memory.add(makeSized(62), false, 10);
    }
    assert.ok(memory.countMissing(makeSized(63), few, 10) > 0);
  });

  it('may be all of the memory for a request that runs alone', () => {
    const memory = createEngineMemory(-10_000);
    assert.equal(countMissing(memory, 1000, 0), 0);
    memory.add(makeSized(1), false, 0);
    assert.ok(countMissing(memory, 1000, 0) > 0);
  });

  // Behind a broken link, what an instance sent runs on.
  it('count after their holder was lost, beyond the part left to it', () => {
    const memory = createEngineMemory(-10_000);
    memory.add(makeSized(500, 'lost'), false, 0);
    memory.release('lost', {kind: 'cancelled', isUnseen: true}, 10);
    const split = {...limit, shareTokens: 800};
    assert.equal(memory.countMissing(makeSized(400), split, 20), 0);
    assert.equal(memory.countMissing(makeSized(401), split, 20), 1);
    const endsAt = 10 + UNSEEN_RUN_MS;
    assert.equal(memory.countMissing(makeSized(700), split, endsAt), 0);
  });

  // An endpoint frees the memory of a closed connection only when it notices.
  it('count until the endpoint has noticed that a request left', () => {
    const memory = createEngineMemory(-5000);
    memory.add(makeSized(1000, 'stopped'), false, 0);
    memory.release('stopped', {kind: 'yielded'}, 10);
    assert.ok(countMissing(memory, 1, 10 + LEAVING_MS - 1) > 0);
    assert.equal(countMissing(memory, 1000, 10 + LEAVING_MS), 0);
    memory.add(makeSized(1000, 'complete'), false, 500);
    memory.release('complete', {kind: 'answered'}, 510);
    assert.equal(countMissing(memory, 1000, 510), 0);
  });

  // Requests of another dispatcher are known only from the endpoint itself.
  it('include what an endpoint reports beyond them, while that is fresh', () => {
    const memory = createEngineMemory(-5000);
    const report = {running: 2, waiting: 0};
    memory.add(makeSized(200, 'own'), false, 0);
    memory.noteReport({...report, at: 10, cacheUsage: 0.2}, limit);
    assert.equal(countMissing(memory, 675, 20), 0);
    memory.release('own', {kind: 'answered'}, 100);
    memory.noteReport({...report, at: 90, cacheUsage: 0.7}, limit);
    assert.equal(countMissing(memory, 375, 110), 0);
    assert.equal(countMissing(memory, 376, 110), 1);
    assert.equal(countMissing(memory, 1000, 90 + REPORT_FRESH_MS), 0);
  });
});

describe('a request that can never fit', () => {
  const oversized = makeRequest({promptTokens: MEMORY_TOKENS});

  it('is refused at once', () => {
    const play = createMemoryPlay(2, LIMITS);
    play.submit(oversized);
    assert.deepEqual([...play.result.refused], [['too-large', 1]]);
  });

  it('is refused when it waits while the memory is made smaller', () => {
    const scheduler = createPoolScheduler(LIMITS);
    scheduler.setEndpoints(makeEndpoints(1), 0);
    scheduler.submit(makeRequest({promptTokens: 100_000}), 5000);
    const waiting = makeRequest({promptTokens: 100_000});
    assert.deepEqual(scheduler.submit(waiting, 5000), []);
    const memory = {tokens: 90_000, shareTokens: 90_000, slots: 8};
    const actions = scheduler.setLimits({maxConcurrency: 8, memory}, 5020);
    const reasons = actions.map(each => 'reason' in each && each.reason);
    assert.deepEqual(reasons, ['too-large']);
  });

  // It fits as soon as a dispatcher that may use the whole memory is back.
  it('may be retried if only the share of this dispatcher is too small', () => {
    const memory = {tokens: MEMORY_TOKENS, shareTokens: 1000, slots: 8};
    const play = createMemoryPlay(2, {maxConcurrency: 8, memory});
    play.submit(makeRequest({promptTokens: 2000}));
    assert.deepEqual([...play.result.refused], [['overloaded', 1]]);
  });
});

describe('a service that states no memory', () => {
  // The digest is that of the scheduler before it counted memory.
  it('is served as before', () => {
    const play = createMemoryPlay(6, WITHOUT_BOUND);
    play.run(20_000, createMixedLoad(1, 60, 0.12));
    const waits = play.result.waits.map(({waitedMs}) => waitedMs);
    const {crashes, lost, answered} = play.result;
    const digest = createHash('sha256')
      .update(JSON.stringify([waits, crashes, lost, answered]))
      .digest('hex');
    assert.equal(digest.slice(0, 16), 'e31e2ffb6642b47c');
  });
});
