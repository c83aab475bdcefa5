/**
 * Runs a request to its end: acquires a slot, makes an attempt, and retries
 * where that is safe. Both online requests and batch items run here.
 */
import type {Clock} from '../../common/clock.js';
import {RouterError, toRouterError} from '../../common/errors.js';
import {createMetrics, type Metrics} from '../../common/metrics.js';
import type {StateSource} from '../../common/state_dump.js';
import type {VersionedDocument} from '../configuration/configuration.js';
import type {Dispatch, WorkClass} from '../dispatch/dispatch.js';
import type {
  AdapterTable,
  EndpointEvent,
} from '../endpoints/endpoint_adapter.js';
import type {ProgressEvent} from './answer_progress.js';
import type {ContentGuard} from '../quarantine/quarantine.js';
import {MAX_COLLECTED_BYTES} from './constants.js';
import {createRequestRun} from './request_run.js';
import {createRequestWatches} from './request_watch.js';
import {createRetryPolicy} from './retry_policy.js';
import type {RunDependencies} from './slot_runner.js';

/** A request that is ready to run: authenticated and within its limits. */
export interface ExecutionRequest {
  requestId: string;
  service: VersionedDocument;
  account: string;
  workClass: WorkClass;
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Uint8Array;
  model: string;
  /** Monotonic time after which the response is of no use. */
  deadline: number;
  promptTokens: number;
  answerTokens: number;
  prefixHashes: readonly string[];
  /** Whether the request may be sent again after an unknown outcome. */
  idempotent: boolean;
  /**
   * Called when a slot is held and the request is about to be sent, and again
   * while its response streams. Throws RouterError (not-run) when the key has
   * been withdrawn.
   */
  authorize: () => void;
  signal: AbortSignal;
}

/** A complete response. */
export interface CompleteAnswer {
  status: number;
  headers: Record<string, string>;
  /** The data events in order. */
  payloads: Buffer[];
}

/** Runs requests. */
export interface Execution extends StateSource {
  /**
   * Streams the events of the response: one head, data in order without gaps or
   * repeats, one end. Throws RouterError with the verdict over all attempts.
   * Ending the iteration early cancels the request on its endpoint.
   */
  run(request: ExecutionRequest): AsyncIterable<EndpointEvent>;
  /**
   * Collects the complete response. It is preferred where nothing is forwarded
   * before the end, because a response that breaks off may then restart with
   * another text. `onStarted` is called when an endpoint starts to respond, and
   * again when another one restarts the response.
   */
  collect(
    request: ExecutionRequest,
    onStarted?: () => void,
  ): Promise<CompleteAnswer>;
}

/** Creates an execution that runs requests on the slots of `dispatch`. */
export function createExecution(
  clock: Clock,
  dispatch: Dispatch,
  adapters: AdapterTable,
  quarantine: ContentGuard,
  metrics: Metrics = createMetrics(),
): Execution {
  const watches = createRequestWatches(clock);
  const retries = createRetryPolicy(clock, adapters, metrics);
  const dependencies: RunDependencies = {
    clock,
    dispatch,
    adapters,
    quarantine,
    metrics,
  };
  const open = metrics.createGauge(
    'open_requests',
    'Requests being run for callers and batch.',
  );
  const outcomes = metrics.createCounter(
    'executions_total',
    'Requests that ended, by class of work and by error code or ok.',
    ['work_class', 'outcome'],
  );

  async function* runWatched(
    request: ExecutionRequest,
    streamed: boolean,
  ): AsyncGenerator<ProgressEvent> {
    const watch = watches.open(request);
    open.set(watches.count());
    retries.noteRequest(request);
    const adapter = adapters[request.service.document.service.kind];
    const run = createRequestRun(
      request,
      streamed,
      watch,
      retries,
      dependencies,
    );
    let outcome: string = 'cancelled';
    try {
      for (let call = await run.nextCall(); call; call = await run.nextCall()) {
        try {
          for await (const event of adapter.send(call)) {
            const newEvent = run.note(event);
            if (newEvent) yield newEvent;
          }
          run.finish();
        } catch (thrown) {
          run.handleFailure(thrown);
        }
      }
      outcome = 'ok';
    } catch (thrown) {
      const error = run.buildFinalError(toRouterError(thrown, 'may-have-run'));
      outcome = error.code;
      throw error;
    } finally {
      run.close();
      watch.close();
      open.set(watches.count());
      outcomes.inc({work_class: request.workClass, outcome});
    }
  }

  return {
    run: request => runWatched(request, true) as AsyncIterable<EndpointEvent>,
    async collect(request, onStarted) {
      const answer: CompleteAnswer = {status: 0, headers: {}, payloads: []};
      let bytes = 0;
      for await (const event of runWatched(request, false)) {
        if (event.kind === 'restart') {
          answer.payloads = [];
          bytes = 0;
        }
        if (event.kind === 'data') {
          answer.payloads.push(event.payload);
          bytes += event.payload.length;
          checkCollected(bytes);
        }
        if (event.kind !== 'head') continue;
        onStarted?.();
        answer.status = event.status;
        answer.headers = event.headers;
      }
      return answer;
    },
    describeState: () => ({
      open: watches.count(),
      retryBudgets: retries.describeState(),
    }),
  };
}

/**
 * Throws if a response is too large to be collected. A broken endpoint may send one
 * without end, which would exhaust the memory of the instance.
 */
function checkCollected(bytes: number) {
  if (bytes <= MAX_COLLECTED_BYTES) return;
  throw new RouterError(
    'endpoint_failed',
    `the response has more than ${MAX_COLLECTED_BYTES} bytes`,
    {verdict: 'may-have-run'},
  );
}
