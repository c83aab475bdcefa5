/**
 * Simulates accounts that compete for the slots of a pool, on virtual time, for
 * the tests of shares. The arrivals of an account are drawn from a stream of
 * its own, so that two runs with the same seed differ only in what is added.
 */
import {createVirtualClock} from '../common/virtual_clock.js';
import {createRandom} from '../plays/random.js';
import {computeRates, computeWave} from './account_rates.js';
import type {Mechanisms} from './mechanisms.js';
import {createPoolScheduler, type PoolScheduler} from './pool_scheduler.js';
import {makeEndpoints, makeRequest} from './scheduler_fixtures.js';
import type {ScheduledRequest, SchedulerAction} from './scheduler_types.js';

const SLOTS = 8;
const FIRST_BYTE_MS = 75;
const TARGET_MS = 300;
const TIMEOUT_MS = 5000;
/** Time by which a request must have a slot, from its arrival. */
const START_MS = 1600;
/** Time from a yield order until the slot is free. */
const YIELD_MS = 15;
const DECIDE_MS = 20;
/** Spreads seeds, since streams of adjacent seeds begin alike. */
const SEED_FACTOR = 0x9e3779b1;

/** The load of a run; times in ms. */
export interface AccountLoad {
  seed: number;
  durationMs: number;
  accounts: number;
  endpoints: number;
  /** Requests per second of all accounts together, without the hot one's excess. */
  perSecond: number;
  /** Time on an endpoint by account; 2,210 ms fill the pool at 152 per second. */
  getRunMs?: (account: number) => number;
  getWeight?: (account: number) => number;
  /** Factor on all rates by time; by default the wave. */
  getFactor?: (now: number) => number;
  /** One account that sends `factor` times its rate for some time. */
  hot?: {account: number; factor: number; from: number; until: number};
  /** Bundles of ten items per second, by account in turn. */
  bundlesPerSecond?: number;
  /** Schedulers that each have their part of the pool, as in fallback dispatch. */
  parts?: number;
  /** Time at which another scheduler takes over. */
  takeoverAt?: number;
  /** Whether requests wait until their deadline; by default for START_MS. */
  hasLongWaits?: boolean;
  /** Whether refused callers send one new request at their retry time. */
  hasRetries?: boolean;
  mechanisms?: Mechanisms;
}

/** What became of one request. */
export interface RequestRecord {
  account: number;
  arrivedAt: number;
  workClass: 'online' | 'batch';
  isRetry: boolean;
  firstByteAt?: number;
  refusedAt?: number;
  retryAfterMs?: number;
  endedAt?: number;
}

/** Whether an online request had its first byte in time. */
export function isInTime({firstByteAt, arrivedAt}: RequestRecord): boolean {
  return firstByteAt !== undefined && firstByteAt <= arrivedAt + TARGET_MS;
}

interface Run {
  request: ScheduledRequest;
  record: RequestRecord;
  runMs: number;
  part: number;
  endpoint?: string;
  startedAt?: number;
}

/** Runs the load and returns what became of each request. */
export function simulateAccounts(load: AccountLoad): RequestRecord[] {
  const {hot, parts = 1, getRunMs = () => 2210, getWeight = () => 1} = load;
  const {getFactor = computeWave, mechanisms} = load;
  const clock = createVirtualClock();
  const records: RequestRecord[] = [];
  const runs = new Map<string, Run>();
  const placing = createRandom(load.seed * 1000 + 999);
  const schedulers = Array.from({length: parts}, (_, part) => openPart(part));
  let count = 0;

  function openPart(part: number): PoolScheduler {
    const limits = {maxConcurrency: parts === 1 ? SLOTS : 1};
    const scheduler = createPoolScheduler(limits, mechanisms);
    const endpoints = makeEndpoints(load.endpoints).filter((_, index) =>
      Array.from({length: SLOTS}, (_, slot) => index * SLOTS + slot).some(
        slot => slot % parts === part,
      ),
    );
    scheduler.setEndpoints(endpoints, clock.now());
    return scheduler;
  }

  const handlers: {
    [Kind in SchedulerAction['kind']]: (
      action: Extract<SchedulerAction, {kind: Kind}>,
    ) => void;
  } = {
    grant: ({requestId, endpoint}) => startRun(requestId, endpoint),
    refuse({requestId, retryAfterMs}) {
      const {record, request} = runs.get(requestId)!;
      runs.delete(requestId);
      record.refusedAt = clock.now();
      record.retryAfterMs = retryAfterMs;
      const shouldRetry = load.hasRetries && !record.isRetry;
      if (!shouldRetry || request.workClass === 'batch') return;
      clock.schedule(retryAfterMs, () => submitOnline(record.account, true));
    },
    yield: ({requestId}) =>
      void clock.schedule(YIELD_MS, () => stopItem(requestId)),
  };

  function apply(actions: readonly SchedulerAction[]) {
    for (const action of actions) handlers[action.kind](action as never);
  }

  function startRun(id: string, endpoint: string) {
    const run = runs.get(id)!;
    const startedAt = clock.now();
    run.startedAt = startedAt;
    run.endpoint = endpoint;
    run.record.firstByteAt ??= startedAt + FIRST_BYTE_MS;
    clock.schedule(FIRST_BYTE_MS, () => {
      const isRunning = runs.get(id)?.startedAt === startedAt;
      const scheduler = schedulers[run.part];
      if (isRunning) scheduler.noteFirstByte(id, FIRST_BYTE_MS, clock.now());
    });
    clock.schedule(run.runMs, () => {
      if (runs.get(id)?.startedAt === startedAt) endRun(id, run);
    });
  }

  function endRun(id: string, {record, part, runMs}: Run) {
    runs.delete(id);
    record.endedAt = clock.now();
    const outcome = {
      kind: 'answered',
      firstByteMs: FIRST_BYTE_MS,
      totalMs: runMs,
      tokens: 24,
    } as const;
    apply(schedulers[part].release(id, outcome, clock.now()));
  }

  /** Stops an item, which asks for another slot with the rest of its work. */
  function stopItem(id: string) {
    const run = runs.get(id);
    if (run?.startedAt === undefined) return;
    const {request, record, part, startedAt} = run;
    runs.delete(id);
    const doneMs = Math.max(0, clock.now() - startedAt - FIRST_BYTE_MS);
    const runMs = Math.max(FIRST_BYTE_MS, run.runMs - doneMs);
    const outcome = {kind: 'yielded', tokens: 1} as const;
    apply(schedulers[part].release(id, outcome, clock.now()));
    submit({...request, id: `${count++}`, workMs: runMs}, record, runMs);
  }

  function submit(
    request: ScheduledRequest,
    record: RequestRecord,
    runMs: number,
  ) {
    const part = Math.floor(placing.draw() * parts);
    runs.set(request.id, {request, record, runMs, part});
    if (request.startBy !== undefined)
      clock.schedule(START_MS, () => cancelWait(request.id));
    apply(schedulers[part].submit(request, clock.now()));
  }

  /** Ends the wait of a request that has no slot, as its instance does. */
  function cancelWait(id: string) {
    const run = runs.get(id);
    if (!run || run.startedAt !== undefined) return;
    runs.delete(id);
    run.record.refusedAt = clock.now();
    apply(schedulers[run.part].cancel(id, clock.now()));
  }

  function record(
    account: number,
    workClass: 'online' | 'batch',
    isRetry = false,
  ): RequestRecord {
    records.push({account, arrivedAt: clock.now(), workClass, isRetry});
    return records.at(-1)!;
  }

  function submitOnline(account: number, isRetry = false) {
    const now = clock.now();
    const request = makeRequest({
      id: `${count++}`,
      account: `account-${account}`,
      weight: getWeight(account),
      deadline: now + TIMEOUT_MS,
      targetAt: now + TARGET_MS,
      startBy: load.hasLongWaits ? undefined : now + START_MS,
      answerTokens: 24,
    });
    const added = record(account, 'online', isRetry);
    submit(request, added, getRunMs(account));
  }

  function submitBundle(account: number) {
    const dueAt = clock.now() + 18_000;
    for (let index = 0; index < 10; index++) {
      const request = makeRequest({
        id: `${count++}`,
        account: `account-${account}`,
        weight: getWeight(account),
        workClass: 'batch',
        deadline: dueAt,
        dueAt,
        workMs: 4000,
        answerTokens: 162,
      });
      submit(request, record(account, 'batch'), 4000);
    }
  }

  /** Draws arrivals at twice the rate, of which `getShare` / 2 are kept. */
  function scheduleArrivals(
    seed: number,
    perSecond: number,
    getShare: (now: number) => number,
    task: () => void,
  ) {
    const random = createRandom(Math.imul(seed, SEED_FACTOR));
    const scheduleNext = () => {
      clock.schedule(random.drawExponential(1000 / (perSecond * 2)), () => {
        if (clock.now() > load.durationMs) return;
        if (random.draw() < getShare(clock.now()) / 2) task();
        scheduleNext();
      });
    };
    scheduleNext();
  }

  const rates = computeRates(load.accounts, load.perSecond);
  rates.forEach((rate, account) => {
    const seed = load.seed * 1000 + account;
    scheduleArrivals(seed, rate, getFactor, () => submitOnline(account));
  });
  if (hot) {
    const excess = rates[hot.account] * (hot.factor - 1);
    const getShare = (now: number) =>
      now >= hot.from && now < hot.until ? getFactor(now) : 0;
    const seed = load.seed * 1000 + 500;
    scheduleArrivals(seed, excess, getShare, () => submitOnline(hot.account));
  }
  const bundleRates = computeRates(load.accounts, load.bundlesPerSecond ?? 0);
  bundleRates.forEach((rate, account) => {
    if (rate === 0) return;
    const seed = load.seed * 1000 + 600 + account;
    scheduleArrivals(
      seed,
      rate,
      () => 1,
      () => submitBundle(account),
    );
  });

  /** Replaces the scheduler of each part by one that adopts the running slots. */
  function takeOver() {
    const adopted = [...runs.values()];
    schedulers.forEach((old, part) => {
      const next = openPart(part);
      const latency = old.exportLatency();
      if (latency) next.importLatency(latency);
      schedulers[part] = next;
    });
    for (const {request, part, endpoint, startedAt} of adopted) {
      if (startedAt === undefined) continue;
      schedulers[part].adopt(request, endpoint!, clock.now());
    }
    for (const {request, part, startedAt} of adopted) {
      if (startedAt !== undefined) continue;
      apply(schedulers[part].submit(request, clock.now()));
    }
  }

  function decide() {
    for (const scheduler of schedulers) apply(scheduler.decide(clock.now()));
    clock.schedule(DECIDE_MS, decide);
  }

  decide();
  if (load.takeoverAt !== undefined) clock.schedule(load.takeoverAt, takeOver);
  clock.advance(load.durationMs + 2 * TIMEOUT_MS);
  return records;
}
