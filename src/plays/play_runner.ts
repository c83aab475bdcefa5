/**
 * Plays a scenario on virtual time: callers' requests go through the real
 * decision code to engine models and back, with a small network delay on each
 * hop, as the instances of the product would carry them.
 */
import {createVirtualClock} from '../common/virtual_clock.js';
import type {PoolScheduler} from '../decisions/pool_scheduler.js';
import {createPoolScheduler} from '../decisions/pool_scheduler.js';
import type {
  PoolLimits,
  SchedulerAction,
  SchedulerOutcome,
} from '../decisions/scheduler_types.js';
import {createBatchSource, type BatchSource} from './batch_source.js';
import {createEngineModel, type EngineModel} from './engine_model.js';
import type {Play, PlayEvent} from './play_schema.js';
import type {PlayResult} from './play_result.js';
import {createPlayScore} from './play_score.js';
import {createRandom} from './random.js';
import {createExactGate, type RateGateFactory} from './rate_gate.js';
import {createTraffic, type PlayRequest} from './traffic.js';

/** One hop between instances or to an endpoint. */
const HOP_MS = 0.5;
const DECIDE_EVERY_MS = 20;
/** Instances collect releases for this long and send them together. */
const RELEASE_INTERVAL_MS = 10;
const FIRST_BYTE_TIMEOUT_MS = 5000;
const BETWEEN_BYTES_TIMEOUT_MS = 2000;
/** Until another instance decides in place of a lost dispatcher. */
const TAKEOVER_MS = 1500;
const MAX_TRIES = 3;

/** What a play runs on; `measure` swaps parts for baselines. */
export interface PlayParts {
  createScheduler: (limits: PoolLimits) => PoolScheduler;
  createGate: RateGateFactory;
  /** Whether instances report first bytes as they come. */
  hasFirstByteReports: boolean;
}

const PRODUCT_PARTS: PlayParts = {
  createScheduler: createPoolScheduler,
  createGate: createExactGate,
  hasFirstByteReports: true,
};

/** A request that was granted an endpoint. */
interface Flight {
  request: PlayRequest;
  endpoint: number;
  sentAt: number;
  firstByteAt?: number;
  /** Wait for a slot, where batch work held some. */
  heldMs: number;
}

/** Plays `play` to its end. */
export function runPlay(
  play: Play,
  parts: Partial<PlayParts> = {},
): PlayResult {
  const {createScheduler, createGate, hasFirstByteReports} = {
    ...PRODUCT_PARTS,
    ...parts,
  };
  const clock = createVirtualClock();
  const score = createPlayScore(play);
  const endpoints = Array.from({length: play.endpoints}, (_, index) => ({
    address: `10.0.0.${index + 1}:8000`,
    failureDomain: `domain-${index % 4}`,
  }));
  const indexOf = new Map(endpoints.map(({address}, i) => [address, i]));
  const gate = createGate(play.accounts, play.instances);
  const reference = createExactGate(play.accounts, play.instances);
  const waiting = new Map<string, PlayRequest>();
  const flights = new Map<string, Flight>();
  /** Online requests that found every slot taken, some by batch work. */
  const slotless = new Set<string>();
  let scheduler: PoolScheduler | undefined = startScheduler();

  function startScheduler(): PoolScheduler {
    const started = createScheduler({maxConcurrency: play.maxConcurrency});
    started.setEndpoints(endpoints, clock.now());
    return started;
  }

  const engines: EngineModel[] = endpoints.map(({address}, index) =>
    createEngineModel(
      play.engine,
      clock,
      createRandom(play.seed * 104_729 + index),
      {
        handleFirstToken: (id, heldMs) => handleFirstToken(id, heldMs),
        handleEnd: id => handleEnd(id),
        handleReport: report =>
          scheduler?.noteLoad(address, report, clock.now()),
        handleCacheEvent: event =>
          scheduler?.noteCacheEvent(address, event, clock.now()),
      },
    ),
  );

  // ---- callers' side -------------------------------------------------------

  const traffic = createTraffic(play, clock, request => {
    const isInside = reference.decide(request.account, 0, clock.now());
    score.noteArrival(request, isInside);
    const isAdmitted = gate.decide(
      request.account,
      request.instance,
      clock.now(),
    );
    if (isAdmitted)
      clock.schedule(play.clientMs + HOP_MS, () => sendRequest(request));
    else score.noteRefusal(request, 'rate', clock.now());
  });

  function sendRequest(request: PlayRequest) {
    waiting.set(request.id, request);
    if (request.isBurst && isTakenByBatch()) slotless.add(request.id);
    if (scheduler) apply(scheduler.submit(request, clock.now()));
  }

  function isTakenByBatch(): boolean {
    let batchItems = 0;
    for (const flight of flights.values()) {
      if (flight.request.workClass === 'batch') batchItems++;
    }
    const slots = play.endpoints * play.maxConcurrency;
    return batchItems > 0 && flights.size >= slots;
  }

  // ---- dispatcher's side ---------------------------------------------------

  const handlers: {
    [Kind in SchedulerAction['kind']]: (
      action: Extract<SchedulerAction, {kind: Kind}>,
    ) => void;
  } = {
    grant: ({requestId, endpoint}) => grant(requestId, indexOf.get(endpoint)!),
    refuse({requestId, reason}) {
      const request = waiting.get(requestId)!;
      waiting.delete(requestId);
      if (request.workClass === 'batch') batch.putBack(request);
      else score.noteRefusal(request, reason, clock.now());
    },
    yield({requestId}) {
      clock.schedule(HOP_MS, () => stopItem(requestId));
    },
  };

  function apply(actions: readonly SchedulerAction[]) {
    for (const action of actions) handlers[action.kind](action as never);
  }

  function grant(id: string, endpoint: number) {
    const request = waiting.get(id);
    if (!request) throw new Error(`${id} was granted but does not wait`);
    waiting.delete(id);
    const isBatch = request.workClass === 'batch';
    const waitedMs = clock.now() - request.arrivedAt - play.clientMs - HOP_MS;
    const isHeld = slotless.delete(id);
    const flight: Flight = {
      request,
      endpoint,
      sentAt: clock.now(),
      heldMs: isHeld ? waitedMs : 0,
    };
    flights.set(id, flight);
    clock.schedule(2 * HOP_MS, () => {
      if (flights.get(id) === flight)
        engines[endpoint].send({...request, isBatch});
    });
    watchFlight(flight);
  }

  /** What the instance's time-outs would see. */
  function watchFlight(flight: Flight) {
    const {request} = flight;
    clock.schedule(FIRST_BYTE_TIMEOUT_MS, () => {
      const isOpen = flights.get(request.id) === flight;
      if (isOpen && flight.firstByteAt === undefined) fail(flight, 'silent');
    });
    if (request.workClass === 'batch') return;
    clock.schedule(request.deadline - clock.now(), () => {
      if (flights.get(request.id) !== flight) return;
      finishFlight(flight, {kind: 'cancelled', tokens: 0});
      score.noteLate(request);
    });
  }

  function handleFirstToken(id: string, heldMs: number) {
    const flight = flights.get(id);
    if (!flight) return;
    flight.firstByteAt = clock.now() + HOP_MS;
    const {request} = flight;
    const firstByteMs = flight.firstByteAt - flight.sentAt;
    if (hasFirstByteReports) {
      clock.schedule(computeReleaseDelay(), () =>
        scheduler?.noteFirstByte(id, firstByteMs, clock.now()),
      );
    }
    if (request.workClass === 'batch') return;
    const firstTokenMs = flight.firstByteAt + play.clientMs - request.arrivedAt;
    score.noteFirstToken(request, firstTokenMs, heldMs + flight.heldMs);
  }

  function handleEnd(id: string) {
    const flight = flights.get(id);
    if (!flight) return;
    const {request} = flight;
    if (request.workClass === 'batch') {
      batch.finish(request, clock.now());
      score.noteItem(clock.now());
    } else score.noteAnswer(request);
    finishFlight(flight, {kind: 'answered', tokens: request.answerTokens});
  }

  function finishFlight(
    flight: Flight,
    outcome: Pick<SchedulerOutcome, 'kind' | 'tokens'>,
  ) {
    const {request, sentAt, firstByteAt} = flight;
    flights.delete(request.id);
    if (outcome.kind !== 'answered')
      engines[flight.endpoint].cancel(request.id);
    const endedAt = clock.now() + HOP_MS;
    const delay =
      outcome.kind === 'yielded' ? 2 * HOP_MS : computeReleaseDelay();
    clock.schedule(delay, () => {
      const told: SchedulerOutcome = {
        ...outcome,
        firstByteMs:
          firstByteAt === undefined ? undefined : firstByteAt - sentAt,
        totalMs: endedAt - sentAt,
      };
      if (scheduler) apply(scheduler.release(request.id, told, clock.now()));
    });
  }

  /** Sent at the instances' next turn; then one hop. */
  function computeReleaseDelay(): number {
    const now = clock.now() + HOP_MS;
    const turn = Math.ceil(now / RELEASE_INTERVAL_MS) * RELEASE_INTERVAL_MS;
    return turn + HOP_MS - clock.now();
  }

  function stopItem(id: string) {
    const flight = flights.get(id);
    if (!flight) return;
    const tokens = engines[flight.endpoint].countTokens(id);
    score.noteYield(tokens);
    finishFlight(flight, {kind: 'yielded', tokens});
    batch.putBack(flight.request);
  }

  function fail(flight: Flight, kind: 'silent' | 'failed') {
    const {request} = flight;
    finishFlight(flight, {kind, tokens: 0});
    if (request.workClass === 'batch') {
      batch.putBack(request);
      return;
    }
    request.avoid.push(endpoints[flight.endpoint].address);
    if (request.avoid.length < MAX_TRIES)
      clock.schedule(RELEASE_INTERVAL_MS + 4 * HOP_MS, () =>
        sendRequest(request),
      );
    else score.noteFailure(request);
  }

  const batch: BatchSource = createBatchSource(
    play,
    clock,
    traffic,
    sendRequest,
  );

  // ---- what fails ----------------------------------------------------------

  const eventHandlers: {
    [Kind in PlayEvent['kind']]: (
      event: Extract<PlayEvent, {kind: Kind}>,
    ) => void;
  } = {
    burst: ({account, requests, withinMs}) =>
      traffic.addBurst(account, requests, withinMs),
    load: ({account, load}) => traffic.setLoad(account, load),
    slow: ({endpoint, factor}) => engines[endpoint].setSlowness(factor),
    silent({endpoint, untilMs}) {
      engines[endpoint].setSilent(true);
      clock.schedule(BETWEEN_BYTES_TIMEOUT_MS, () => failStarted(endpoint));
      if (untilMs === undefined) return;
      clock.schedule(untilMs - clock.now(), () =>
        engines[endpoint].setSilent(false),
      );
    },
    'dispatcher-lost'() {
      scheduler = undefined;
      clock.schedule(TAKEOVER_MS, takeOver);
    },
    'store-down'({untilMs}) {
      batch.pause();
      clock.schedule(untilMs - clock.now(), () => batch.resume());
    },
  };

  /** Streams that had begun are found silent between two bytes. */
  function failStarted(endpoint: number) {
    for (const flight of [...flights.values()]) {
      if (flight.endpoint !== endpoint) continue;
      if (flight.firstByteAt !== undefined) fail(flight, 'silent');
    }
  }

  /** Another instance learns what runs and what waits, and decides on. */
  function takeOver() {
    const next = startScheduler();
    for (const {request, endpoint} of flights.values()) {
      next.adopt(request, endpoints[endpoint].address, clock.now());
    }
    scheduler = next;
    for (const request of [...waiting.values()]) {
      apply(next.submit(request, clock.now()));
    }
  }

  function decidePeriodically() {
    if (scheduler) apply(scheduler.decide(clock.now()));
    clock.schedule(DECIDE_EVERY_MS, decidePeriodically);
  }

  for (const event of play.events) {
    clock.schedule(event.atMs, () => eventHandlers[event.kind](event as never));
  }
  traffic.start();
  batch.start();
  decidePeriodically();
  clock.schedule(play.warmupMs, () => score.noteUsage(engines, -1));
  clock.advance(play.durationMs);
  score.noteUsage(engines, 1);
  score.result.batch.doneAt = batch.getDoneAt();
  const running = [...flights.values()].map(({request}) => request);
  score.noteOpen([...waiting.values(), ...running], clock.now());
  return score.result;
}
