/**
 * Runs one request to its end: a slot, a try, and where it is safe another.
 * Online requests and batch items both go through here.
 */
import type {Clock} from '../../common/clock.js';
import {toRouterError} from '../../common/errors.js';
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
import {createRequestRun} from './request_run.js';
import {createRequestWatches} from './request_watch.js';
import {createRetryPolicy} from './retry_policy.js';
import type {RunDependencies} from './slot_runner.js';

/** A request ready to run: authenticated, within its limits. */
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
  /** Monotonic time after which the answer is of no use. */
  deadline: number;
  promptTokens: number;
  answerTokens: number;
  prefixHashes: readonly string[];
  /** Whether it may be sent again after an unclear outcome. */
  idempotent: boolean;
  /**
   * Called when a slot is held and the request is about to be sent, and again
   * while its answer streams; throws RouterError (not-run) when its key was
   * withdrawn meanwhile.
   */
  authorize: () => void;
  signal: AbortSignal;
}

/** A whole answer. */
export interface WholeAnswer {
  status: number;
  headers: Record<string, string>;
  /** The data events in order. */
  payloads: Buffer[];
}

/** Runs requests. */
export interface Execution extends StateSource {
  /**
   * The events of the whole answer: one head, data in order without gaps or
   * repeats, one end. Throws RouterError with the verdict over all tries.
   * Ending the iteration early cancels the request on its endpoint.
   */
  run(request: ExecutionRequest): AsyncIterable<EndpointEvent>;
  /**
   * The answer as a whole. Preferred where nothing is passed on before the
   * end: a broken answer may then begin anew with another text. `onStarted` is
   * called when an endpoint begins to answer, again if another begins anew.
   */
  collect(
    request: ExecutionRequest,
    onStarted?: () => void,
  ): Promise<WholeAnswer>;
}

/** Ties dispatch to the endpoint adapters. */
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
            const fresh = run.note(event);
            if (fresh) yield fresh;
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
      const answer: WholeAnswer = {status: 0, headers: {}, payloads: []};
      for await (const event of runWatched(request, false)) {
        if (event.kind === 'restart') answer.payloads = [];
        if (event.kind === 'data') answer.payloads.push(event.payload);
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
