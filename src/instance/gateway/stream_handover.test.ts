/** Streams whose endpoint fell silent, with the runs and the slots as fakes. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RouterError} from '../../common/errors.js';
import {createSilentLog} from '../../common/log.js';
import {createMetrics} from '../../common/metrics.js';
import {createVirtualClock} from '../../common/virtual_clock.js';
import type {Slot} from '../dispatch/dispatch.js';
import {HANDOVER_OVERLAP_MS} from './constants.js';
import type {OpenRun} from './open_run.js';
import type {RequestState} from './request_state.js';
import type {EndedRun} from './slot_run.js';
import {
  createStreamHandover,
  isNextRunAllowed,
  type SuccessorListener,
} from './stream_handover.js';

const ANSWERED: EndedRun = {kind: 'answered', status: 200};
const BROKEN: EndedRun = {kind: 'broken', reason: 'reset'};
const REFUSED: EndedRun = {kind: 'not-run', reason: 'full'};
const STOPPED: EndedRun = {kind: 'stopped', wasSent: true};

/** A run that a test ends, stops and lets fall silent. */
function createFakeRun(name: string) {
  let end: (ended: EndedRun) => void = () => {};
  let handleSilence: (isSilent: boolean) => void = () => {};
  let hasEnded = false;
  const progress = new AbortController();
  const ended = new Promise<EndedRun>(resolve => {
    end = resolve;
  });
  void ended.then(() => {
    hasEnded = true;
    handleSilence(false);
  });
  const run: OpenRun = {
    slot: {endpoint: {name, address: name}, release() {}} as unknown as Slot,
    waitedMs: 0,
    startedAt: 0,
    ended,
    awaitSilence: () =>
      new Promise(resolve => {
        if (hasEnded) resolve(false);
        else handleSilence = resolve;
      }),
    watchProgress: () => progress.signal,
    stop: reason => end(reason instanceof RouterError ? BROKEN : STOPPED),
  };
  return {
    run,
    end,
    goOn: () => progress.abort(),
    fallSilent: () => handleSilence(true),
  };
}

function startScenario(refusal?: RouterError) {
  const clock = createVirtualClock();
  const first = createFakeRun('first');
  const next = createFakeRun('next');
  const replaced: [string, EndedRun['kind']][] = [];
  let grant: () => void = () => {};
  let listener: SuccessorListener | undefined;
  const {follow} = createStreamHandover({
    clock,
    log: createSilentLog(),
    handovers: createMetrics().createCounter('moved', 'Test.', ['outcome']),
    acquireNext: () =>
      new Promise((resolve, reject) => {
        grant = () => (refusal ? reject(refusal) : resolve(next.run.slot));
      }),
    startNext(_state, _grant, nextListener) {
      listener = nextListener;
      return next.run;
    },
    noteReplaced: (state, {slot}, {kind}) => {
      state.runs++;
      replaced.push([slot.endpoint.name, kind]);
    },
  });
  const state = {
    runs: 0,
    route: {maxAttempts: 2},
    admitted: {caller: {id: 'r1'}},
  } as RequestState;
  const followed = follow(state, first.run);

  async function awaitCallbacks() {
    for (let turn = 0; turn < 10; turn++) await Promise.resolve();
  }

  return {
    clock,
    first,
    next,
    replaced,
    awaitCallbacks,
    async fallSilent() {
      await awaitCallbacks();
      first.fallSilent();
      await awaitCallbacks();
    },
    async grant() {
      grant();
      await awaitCallbacks();
    },
    getListener: () => listener!,
    /** Name of the endpoint that was followed last, and how its run ended. */
    async awaitEnd() {
      const {run, ended} = await followed;
      return [run.slot.endpoint.name, ended.kind];
    },
  };
}

describe('a stream whose endpoint is silent', () => {
  // Guards against an end of the silent run before another endpoint accepts the stream.
  it('stays while no endpoint is found', async () => {
    const refusal = new RouterError('no_endpoint', 'none', {
      verdict: 'not-run',
    });
    const scenario = startScenario(refusal);
    await scenario.fallSilent();
    await scenario.grant();
    scenario.first.end(ANSWERED);
    assert.deepEqual(await scenario.awaitEnd(), ['first', 'answered']);
    assert.deepEqual(scenario.replaced, []);
  });

  it('stays if its endpoint goes on during the search', async () => {
    const scenario = startScenario();
    await scenario.fallSilent();
    scenario.first.goOn();
    await scenario.grant();
    assert.equal(scenario.getListener(), undefined);
    scenario.first.end(ANSWERED);
    assert.deepEqual(await scenario.awaitEnd(), ['first', 'answered']);
  });

  it('moves when the next endpoint answers with success', async () => {
    const scenario = startScenario();
    await scenario.fallSilent();
    await scenario.grant();
    scenario.getListener().onSent();
    assert.equal(scenario.getListener().onStatus(200), true);
    await scenario.awaitCallbacks();
    assert.deepEqual(scenario.replaced, [['first', 'broken']]);
    scenario.next.end(ANSWERED);
    assert.deepEqual(await scenario.awaitEnd(), ['next', 'answered']);
  });

  for (const [name, ended] of [
    ['refuses', REFUSED],
    ['breaks off', BROKEN],
  ] as const) {
    it(`stays if the next endpoint ${name}`, async () => {
      const scenario = startScenario();
      await scenario.fallSilent();
      await scenario.grant();
      scenario.getListener().onSent();
      assert.equal(scenario.getListener().onStatus(503), false);
      scenario.next.end(ended);
      await scenario.awaitCallbacks();
      assert.deepEqual(scenario.replaced, [['next', ended.kind]]);
      scenario.first.end(ANSWERED);
      assert.deepEqual(await scenario.awaitEnd(), ['first', 'answered']);
    });
  }

  // Guards against bytes of two runs in one response.
  it('stays if its endpoint goes on before the next one answers', async () => {
    const scenario = startScenario();
    await scenario.fallSilent();
    await scenario.grant();
    scenario.getListener().onSent();
    scenario.first.goOn();
    await scenario.awaitCallbacks();
    assert.deepEqual(scenario.replaced, [['next', 'stopped']]);
    scenario.first.end(ANSWERED);
    assert.deepEqual(await scenario.awaitEnd(), ['first', 'answered']);
  });

  // Guards against two endpoints that work on one stream.
  it('moves when the next endpoint had time to answer', async () => {
    const scenario = startScenario();
    await scenario.fallSilent();
    await scenario.grant();
    scenario.getListener().onSent();
    scenario.clock.advance(HANDOVER_OVERLAP_MS - 1);
    await scenario.awaitCallbacks();
    assert.deepEqual(scenario.replaced, []);
    scenario.clock.advance(1);
    await scenario.awaitCallbacks();
    assert.deepEqual(scenario.replaced, [['first', 'broken']]);
    scenario.next.end(ANSWERED);
    assert.deepEqual(await scenario.awaitEnd(), ['next', 'answered']);
  });

  // Guards against the loss of both runs when the silent endpoint ends.
  it('moves if its endpoint ends before the next one answers', async () => {
    const scenario = startScenario();
    await scenario.fallSilent();
    await scenario.grant();
    scenario.getListener().onSent();
    scenario.first.end(BROKEN);
    await scenario.awaitCallbacks();
    scenario.next.end(ANSWERED);
    assert.deepEqual(await scenario.awaitEnd(), ['next', 'answered']);
  });

  // Guards against a stream that a failing endpoint takes from the one that could go on.
  it('moves if its endpoint fails before the next one answers', async () => {
    const scenario = startScenario();
    await scenario.fallSilent();
    await scenario.grant();
    scenario.getListener().onSent();
    scenario.first.end({kind: 'answered', status: 500});
    await scenario.awaitCallbacks();
    scenario.next.end(ANSWERED);
    assert.deepEqual(await scenario.awaitEnd(), ['next', 'answered']);
  });

  // Guards against an end of the silent run for one that has been refused already.
  it('stays if the next endpoint refuses and does not end its response', async () => {
    const scenario = startScenario();
    await scenario.fallSilent();
    await scenario.grant();
    scenario.getListener().onSent();
    assert.equal(scenario.getListener().onStatus(500), false);
    scenario.clock.advance(HANDOVER_OVERLAP_MS);
    await scenario.awaitCallbacks();
    assert.deepEqual(scenario.replaced, [['next', 'stopped']]);
    scenario.first.end(ANSWERED);
    assert.deepEqual(await scenario.awaitEnd(), ['first', 'answered']);
  });

  it('may move only while attempts are left and its content runs alone nowhere', () => {
    assert.equal(isNextRunAllowed({runs: 0, trial: undefined}, 1), false);
    assert.equal(isNextRunAllowed({runs: 0, trial: undefined}, 2), true);
    assert.equal(isNextRunAllowed({runs: 1, trial: undefined}, 2), false);
    const trial = {release() {}};
    assert.equal(isNextRunAllowed({runs: 0, trial}, 2), false);
  });
});
