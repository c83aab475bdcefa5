/** A fleet that is split while its endpoints are nearly full. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createRandom} from '../plays/random.js';
import {createMixedLoad, MEMORY_TOKENS} from './memory_fixtures.js';
import {createPoolScheduler, type PoolScheduler} from './pool_scheduler.js';
import {makeEndpoints} from './scheduler_fixtures.js';
import type {
  PoolLimits,
  ScheduledRequest,
  SchedulerAction,
} from './scheduler_types.js';

const INSTANCES = 10;
const ENDPOINTS = makeEndpoints(6);
const STEP_MS = 10;
const RUN_MS = 700;
const SPLIT_AT = 10_000;
/** Time until the first part notices that the other one is gone. */
const NOTICE_MS = 1500;
const ANSWERED = {
  kind: 'answered',
  firstByteMs: 50,
  totalMs: RUN_MS,
  tokens: 1,
} as const;

function buildLimits(seen: number): PoolLimits {
  const shareTokens = Math.floor((MEMORY_TOKENS * seen) / INSTANCES);
  const isSplit = INSTANCES - seen > 1;
  return {
    maxConcurrency: 8,
    memory: {tokens: MEMORY_TOKENS, shareTokens, slots: 8, isSplit},
  };
}

interface Entry {
  request: ScheduledRequest;
  holder: number;
  endpoint?: string;
  endsAt: number;
}

/** Splits the fleet into `size` and the other instances; returns the peak of tokens. */
function runSplit(seed: number, size: number) {
  const load = createMixedLoad(seed, 60, 0.4);
  const random = createRandom(seed + 9);
  const entries = new Map<string, Entry>();
  const first = createPoolScheduler(buildLimits(INSTANCES));
  first.setEndpoints(ENDPOINTS, -SPLIT_AT);
  let second: PoolScheduler | undefined;
  let now = 0;
  let granted = 0;
  let mostTokens = 0;

  const isInSecond = ({holder}: Entry) => holder >= size;

  function findScheduler(entry: Entry): PoolScheduler {
    return second && isInSecond(entry) ? second : first;
  }

  function apply(actions: readonly SchedulerAction[]) {
    for (const action of actions) {
      const entry = entries.get(action.requestId)!;
      if (action.kind === 'refuse') entries.delete(action.requestId);
      if (action.kind !== 'grant') continue;
      granted++;
      Object.assign(entry, {endpoint: action.endpoint, endsAt: now + RUN_MS});
    }
  }

  /** The second part has a dispatcher at once; it knows only its own slots. */
  function startSecond() {
    second = createPoolScheduler(buildLimits(INSTANCES - size));
    second.setEndpoints(ENDPOINTS, now);
    for (const {request, endpoint} of [...entries.values()].filter(
      isInSecond,
    )) {
      if (endpoint) second.adopt(request, endpoint, now);
      else {
        apply(first.cancel(request.id, now));
        apply(second.submit(request, now));
      }
    }
  }

  function removeSecondFromFirst() {
    apply(first.setLimits(buildLimits(size), now));
    for (const {request} of [...entries.values()].filter(isInSecond)) {
      const outcome = {kind: 'cancelled', tokens: 0, isUnseen: true} as const;
      apply(first.release(request.id, outcome, now));
    }
  }

  function sumTokens(address: string): number {
    return [...entries.values()]
      .filter(({endpoint}) => endpoint === address)
      .reduce(
        (sum, {request}) => sum + request.promptTokens + request.answerTokens,
        0,
      );
  }

  for (; now < 2 * SPLIT_AT; now += STEP_MS) {
    if (now === SPLIT_AT) startSecond();
    if (now === SPLIT_AT + NOTICE_MS) removeSecondFromFirst();
    for (const [id, entry] of [...entries]) {
      if (!entry.endpoint || entry.endsAt > now) continue;
      entries.delete(id);
      apply(findScheduler(entry).release(id, ANSWERED, now));
    }
    for (const request of load(now)) {
      const holder = Math.floor(INSTANCES * random.draw());
      const entry = {request, holder, endsAt: Infinity};
      entries.set(request.id, entry);
      apply(findScheduler(entry).submit(request, now));
    }
    apply(first.decide(now));
    if (second) apply(second.decide(now));
    const sums = ENDPOINTS.map(({address}) => sumTokens(address));
    mostTokens = Math.max(mostTokens, ...sums);
  }
  return {mostTokens, granted};
}

describe('the parts of a split fleet', () => {
  for (const size of [5, 8]) {
    for (const seed of [1, 2, 3]) {
      // Neither dispatcher knows what the other one granted, before the split and after.
      it(`stay within the memory together (${size} of 10, seed ${seed})`, () => {
        const {mostTokens, granted} = runSplit(seed, size);
        assert.ok(mostTokens <= MEMORY_TOKENS, `${mostTokens} tokens`);
        assert.ok(granted > 500, `${granted} granted`);
      });
    }
  }
});
