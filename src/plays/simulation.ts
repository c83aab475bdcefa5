/**
 * Simulates a scenario on virtual time. Requests of callers pass through the
 * real decision code to engine models and back. Each hop has a small network
 * delay, as between the instances of the product.
 */
import {createVirtualClock} from '../common/virtual_clock.js';
import type {PoolScheduler} from '../decisions/pool_scheduler.js';
import {createPoolScheduler} from '../decisions/pool_scheduler.js';
import type {
  EndpointLoad,
  PoolLimits,
  SchedulerAction,
  SchedulerOutcome,
} from '../decisions/scheduler_types.js';
import {createBatchSource, type BatchSource} from './batch_source.js';
import {createEngineModel, type EngineModel} from './engine_model.js';
import type {Scenario, ScenarioEvent} from './scenario_schema.js';
import type {SimulationResult} from './simulation_result.js';
import {createResultRecorder} from './result_recorder.js';
import {createRandom} from './random.js';
import {createExactGate, type RateGateFactory} from './rate_gate.js';
import {createTraffic, type SimulatedRequest} from './traffic.js';

/** Network delay between two instances, or to an endpoint. */
const NETWORK_HOP_MS = 0.5;
const DECISION_INTERVAL_MS = 20;
/** Instances send releases in batches at this interval. */
const RELEASE_INTERVAL_MS = 10;
const FIRST_BYTE_TIMEOUT_MS = 5000;
const BETWEEN_BYTES_TIMEOUT_MS = 2000;
/** Time until another instance replaces a lost dispatcher. */
const TAKEOVER_DELAY_MS = 1500;
const MAX_ATTEMPTS = 3;

/** Parts of a simulation that the `measure` tool replaces by baselines. */
export interface SimulationParts {
  createScheduler: (limits: PoolLimits) => PoolScheduler;
  createGate: RateGateFactory;
  /** Whether instances report each first byte as it arrives. */
  hasFirstByteReports: boolean;
  /** How long work takes on an endpoint; by default, on all the same time. */
  findWork: (endpoint: number, now: number) => EndpointWork;
}

/** How long work takes on an endpoint at a time. */
export interface EndpointWork {
  /** Factor on the duration of the engine's steps. */
  factor: number;
  /** The pace that responses report; absent if they report none. */
  reportedPace?: number;
}

const DEFAULT_PARTS: SimulationParts = {
  createScheduler: createPoolScheduler,
  createGate: createExactGate,
  hasFirstByteReports: true,
  findWork: () => ({factor: 1}),
};

/** A request that was granted a slot on an endpoint. */
interface InFlightRequest {
  request: SimulatedRequest;
  endpoint: number;
  sentAt: number;
  firstByteAt?: number;
  /** Time it waited for a slot while batch work occupied some, else 0. */
  batchDelayMs: number;
}

/** Simulates a scenario to its end. */
export function runSimulation(
  scenario: Scenario,
  parts: Partial<SimulationParts> = {},
): SimulationResult {
  const {createScheduler, createGate, hasFirstByteReports, findWork} = {
    ...DEFAULT_PARTS,
    ...parts,
  };
  const clock = createVirtualClock();
  const recorder = createResultRecorder(scenario);
  const endpoints = Array.from({length: scenario.endpoints}, (_, index) => ({
    address: `10.0.0.${index + 1}:8000`,
    failureDomain: `domain-${index % 4}`,
  }));
  const indexOf = new Map(endpoints.map(({address}, i) => [address, i]));
  const gate = createGate(scenario.accounts, scenario.instances);
  const exactGate = createExactGate(scenario.accounts, scenario.instances);
  const waiting = new Map<string, SimulatedRequest>();
  const inFlight = new Map<string, InFlightRequest>();
  /** Burst requests that found every slot taken, some of them by batch work. */
  const delayedByBatch = new Set<string>();
  let scheduler: PoolScheduler | undefined = startScheduler();

  function startScheduler(): PoolScheduler {
    const started = createScheduler({maxConcurrency: scenario.maxConcurrency});
    started.setEndpoints(endpoints, clock.now());
    return started;
  }

  const engines: EngineModel[] = endpoints.map(({address}, index) =>
    createEngineModel(
      scenario.engine,
      clock,
      createRandom(scenario.seed * 104_729 + index),
      {
        handleFirstToken: (id, batchDelayMs) =>
          handleFirstToken(id, batchDelayMs),
        handleEnd: id => handleEnd(id),
        handleReport: report =>
          scheduler?.noteLoad(address, report, clock.now()),
        handleCacheEvent: event =>
          scheduler?.noteCacheEvent(address, event, clock.now()),
      },
      () => findWork(index, clock.now()).factor,
    ),
  );

  // ---- callers -------------------------------------------------------------

  const traffic = createTraffic(scenario, clock, request => {
    const isInside = exactGate.decide(request.account, 0, clock.now());
    recorder.noteArrival(request, isInside);
    const isAdmitted = gate.decide(
      request.account,
      request.instance,
      clock.now(),
    );
    if (isAdmitted)
      clock.schedule(scenario.clientMs + NETWORK_HOP_MS, () =>
        sendRequest(request),
      );
    else recorder.noteRefusal(request, 'rate', clock.now());
  });

  function sendRequest(request: SimulatedRequest) {
    waiting.set(request.id, request);
    if (request.isBurst && isFullWithBatch()) delayedByBatch.add(request.id);
    if (scheduler) applyActions(scheduler.submit(request, clock.now()));
  }

  function isFullWithBatch(): boolean {
    let batchItems = 0;
    for (const flight of inFlight.values()) {
      if (flight.request.workClass === 'batch') batchItems++;
    }
    const slots = scenario.endpoints * scenario.maxConcurrency;
    return batchItems > 0 && inFlight.size >= slots;
  }

  // ---- dispatcher ----------------------------------------------------------

  const handlers: {
    [Kind in SchedulerAction['kind']]: (
      action: Extract<SchedulerAction, {kind: Kind}>,
    ) => void;
  } = {
    grant: ({requestId, endpoint}) =>
      grantSlot(requestId, indexOf.get(endpoint)!),
    refuse({requestId, reason}) {
      const request = waiting.get(requestId)!;
      waiting.delete(requestId);
      if (request.workClass === 'batch') batch.retry(request);
      else recorder.noteRefusal(request, reason, clock.now());
    },
    yield({requestId}) {
      clock.schedule(NETWORK_HOP_MS, () => stopItem(requestId));
    },
  };

  function applyActions(actions: readonly SchedulerAction[]) {
    for (const action of actions) handlers[action.kind](action as never);
  }

  function grantSlot(id: string, endpoint: number) {
    const request = waiting.get(id);
    if (!request)
      throw new Error(`${id} was granted a slot but is not waiting`);
    waiting.delete(id);
    const isBatch = request.workClass === 'batch';
    const waitedMs =
      clock.now() - request.arrivedAt - scenario.clientMs - NETWORK_HOP_MS;
    const isDelayedByBatch = delayedByBatch.delete(id);
    const flight: InFlightRequest = {
      request,
      endpoint,
      sentAt: clock.now(),
      batchDelayMs: isDelayedByBatch ? waitedMs : 0,
    };
    inFlight.set(id, flight);
    clock.schedule(2 * NETWORK_HOP_MS, () => {
      if (inFlight.get(id) === flight)
        engines[endpoint].send({...request, isBatch});
    });
    scheduleTimeouts(flight);
  }

  /** Schedules the timeouts that an instance would apply to the request. */
  function scheduleTimeouts(flight: InFlightRequest) {
    const {request} = flight;
    clock.schedule(FIRST_BYTE_TIMEOUT_MS, () => {
      const isOpen = inFlight.get(request.id) === flight;
      if (isOpen && flight.firstByteAt === undefined)
        failRequest(flight, 'silent');
    });
    if (request.workClass === 'batch') return;
    clock.schedule(request.deadline - clock.now(), () => {
      if (inFlight.get(request.id) !== flight) return;
      finishRequest(flight, {kind: 'cancelled', tokens: 0});
      recorder.noteLate(request);
    });
  }

  function handleFirstToken(id: string, batchDelayMs: number) {
    const flight = inFlight.get(id);
    if (!flight) return;
    flight.firstByteAt = clock.now() + NETWORK_HOP_MS;
    const {request} = flight;
    const firstByteMs = flight.firstByteAt - flight.sentAt;
    if (hasFirstByteReports) {
      const load = buildLoad(flight.endpoint);
      const {address} = endpoints[flight.endpoint];
      clock.schedule(computeReleaseDelay(), () => {
        if (load) scheduler?.noteLoad(address, load, clock.now());
        scheduler?.noteFirstByte(id, firstByteMs, clock.now());
      });
    }
    if (request.workClass === 'batch') return;
    const firstTokenMs =
      flight.firstByteAt + scenario.clientMs - request.arrivedAt;
    recorder.noteFirstToken(
      request,
      firstTokenMs,
      batchDelayMs + flight.batchDelayMs,
    );
  }

  /** Builds the load that a response states; undefined without a pace. */
  function buildLoad(endpoint: number): EndpointLoad | undefined {
    const pace = findWork(endpoint, clock.now()).reportedPace;
    if (pace === undefined) return undefined;
    const slots = scenario.maxConcurrency;
    return {...engines[endpoint].getLoad(), slots, pace};
  }

  function handleEnd(id: string) {
    const flight = inFlight.get(id);
    if (!flight) return;
    const {request} = flight;
    if (request.workClass === 'batch') {
      batch.finish(request, clock.now());
      recorder.noteItem(clock.now());
    } else recorder.noteAnswer(request);
    finishRequest(flight, {kind: 'answered', tokens: request.answerTokens});
  }

  function finishRequest(
    flight: InFlightRequest,
    outcome: Pick<SchedulerOutcome, 'kind' | 'tokens'>,
  ) {
    const {request, sentAt, firstByteAt} = flight;
    inFlight.delete(request.id);
    if (outcome.kind !== 'answered')
      engines[flight.endpoint].cancel(request.id);
    const endedAt = clock.now() + NETWORK_HOP_MS;
    const delay =
      outcome.kind === 'yielded' ? 2 * NETWORK_HOP_MS : computeReleaseDelay();
    clock.schedule(delay, () => {
      const reported: SchedulerOutcome = {
        ...outcome,
        firstByteMs:
          firstByteAt === undefined ? undefined : firstByteAt - sentAt,
        totalMs: endedAt - sentAt,
      };
      if (scheduler)
        applyActions(scheduler.release(request.id, reported, clock.now()));
    });
  }

  /** Returns the delay until the next batch of releases arrives. */
  function computeReleaseDelay(): number {
    const now = clock.now() + NETWORK_HOP_MS;
    const turn = Math.ceil(now / RELEASE_INTERVAL_MS) * RELEASE_INTERVAL_MS;
    return turn + NETWORK_HOP_MS - clock.now();
  }

  function stopItem(id: string) {
    const flight = inFlight.get(id);
    if (!flight) return;
    const tokens = engines[flight.endpoint].countTokens(id);
    recorder.noteYield(tokens);
    finishRequest(flight, {kind: 'yielded', tokens});
    batch.retry(flight.request);
  }

  function failRequest(flight: InFlightRequest, kind: 'silent' | 'failed') {
    const {request} = flight;
    finishRequest(flight, {kind, tokens: 0});
    if (request.workClass === 'batch') {
      batch.retry(request);
      return;
    }
    request.avoid.push(endpoints[flight.endpoint].address);
    if (request.avoid.length < MAX_ATTEMPTS)
      clock.schedule(RELEASE_INTERVAL_MS + 4 * NETWORK_HOP_MS, () =>
        sendRequest(request),
      );
    else recorder.noteFailure(request);
  }

  const batch: BatchSource = createBatchSource(
    scenario,
    clock,
    traffic,
    sendRequest,
  );

  // ---- scenario events -----------------------------------------------------

  const eventHandlers: {
    [Kind in ScenarioEvent['kind']]: (
      event: Extract<ScenarioEvent, {kind: Kind}>,
    ) => void;
  } = {
    burst: ({account, requests, withinMs}) =>
      traffic.addBurst(account, requests, withinMs),
    load: ({account, load}) => traffic.setLoad(account, load),
    slow: ({endpoint, factor}) => engines[endpoint].setSlowness(factor),
    silent({endpoint, untilMs}) {
      engines[endpoint].setSilent(true);
      clock.schedule(BETWEEN_BYTES_TIMEOUT_MS, () =>
        failStartedRequests(endpoint),
      );
      if (untilMs === undefined) return;
      clock.schedule(untilMs - clock.now(), () =>
        engines[endpoint].setSilent(false),
      );
    },
    'dispatcher-lost'() {
      scheduler = undefined;
      clock.schedule(TAKEOVER_DELAY_MS, replaceDispatcher);
    },
    'store-down'({untilMs}) {
      batch.pause();
      clock.schedule(untilMs - clock.now(), () => batch.resume());
    },
  };

  /** Fails the started streams of an endpoint, by the between-bytes timeout. */
  function failStartedRequests(endpoint: number) {
    for (const flight of [...inFlight.values()]) {
      if (flight.endpoint !== endpoint) continue;
      if (flight.firstByteAt !== undefined) failRequest(flight, 'silent');
    }
  }

  /** Starts a new dispatcher that adopts running and waiting requests. */
  function replaceDispatcher() {
    const newScheduler = startScheduler();
    for (const {request, endpoint} of inFlight.values()) {
      newScheduler.adopt(request, endpoints[endpoint].address, clock.now());
    }
    scheduler = newScheduler;
    for (const request of [...waiting.values()]) {
      applyActions(newScheduler.submit(request, clock.now()));
    }
  }

  function decidePeriodically() {
    if (scheduler) applyActions(scheduler.decide(clock.now()));
    clock.schedule(DECISION_INTERVAL_MS, decidePeriodically);
  }

  for (const event of scenario.events) {
    clock.schedule(event.atMs, () => eventHandlers[event.kind](event as never));
  }
  traffic.start();
  batch.start();
  decidePeriodically();
  clock.schedule(scenario.warmupMs, () => recorder.noteUsage(engines, -1));
  clock.advance(scenario.durationMs);
  recorder.noteUsage(engines, 1);
  recorder.result.batch.doneAt = batch.getDoneAt();
  const running = [...inFlight.values()].map(({request}) => request);
  recorder.noteOpen([...waiting.values(), ...running], clock.now());
  return recorder.result;
}
