/**
 * Runs one request to its end: a slot, a try, and where it is safe another.
 * Online requests and batch items both go through here.
 */
import type {Clock} from '../../common/clock.js';
import {RouterError} from '../../common/errors.js';
import {createMetrics, type Metrics} from '../../common/metrics.js';
import type {StateSource} from '../../common/state_dump.js';
import {mergeVerdicts} from '../../common/verdict.js';
import type {VersionedDocument} from '../configuration/configuration.js';
import type {Dispatch, WorkClass} from '../dispatch/dispatch.js';
import type {
  AdapterTable,
  EndpointEvent,
} from '../endpoints/endpoint_adapter.js';
import {
  createAnswerProgress,
  type AnswerProgress,
  type ProgressEvent,
} from './answer_progress.js';
import {createRequestWatches} from './request_watch.js';
import {createRetryPolicy} from './retry_policy.js';
import {
  createSlotRunner,
  type RunDependencies,
  type SlotRunner,
  type TryOutcome,
} from './slot_runner.js';

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
  metrics: Metrics = createMetrics(),
): Execution {
  const watches = createRequestWatches(clock);
  const retries = createRetryPolicy(clock, metrics);
  const dependencies: RunDependencies = {clock, dispatch, adapters, metrics};
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
    const progress = createAnswerProgress(streamed);
    const adapter = adapters[request.service.document.service.kind];
    let outcome: string = 'cancelled';
    try {
      retries.noteRequest(request);
      let tries = 0;
      let failure: RouterError | undefined;
      for (let slots = 0; ; slots++) {
        const runner = createSlotRunner(
          request,
          progress,
          watch,
          retries,
          dependencies,
        );
        await acquireSlot(runner, request, slots, failure);
        let next: TryOutcome;
        try {
          next = {kind: 'resume', call: runner.start()};
          while (next.kind === 'resume') {
            try {
              for await (const event of adapter.send(next.call)) {
                const fresh = runner.note(event);
                if (fresh) yield fresh;
              }
              next = runner.finish();
            } catch (thrown) {
              next = runner.handleFailure(thrown);
            }
          }
        } finally {
          runner.close();
        }
        if (next.kind === 'answered') break;
        failure = next.kind === 'failed' ? next.error : undefined;
        if (!failure) continue;
        tries++;
        retries.checkRetry(
          request,
          progress,
          adapter.canResume,
          failure,
          tries,
        );
      }
      outcome = 'ok';
    } catch (thrown) {
      const error = buildFinalError(thrown as RouterError, progress);
      outcome = error.code;
      throw error;
    } finally {
      watch.close();
      open.set(watches.count());
      outcomes.inc({work_class: request.workClass, outcome});
    }
  }

  /** A retry that finds no slot is given back to the budget. */
  async function acquireSlot(
    runner: SlotRunner,
    request: ExecutionRequest,
    slots: number,
    failure: RouterError | undefined,
  ) {
    try {
      await runner.acquire(slots, failure);
    } catch (thrown) {
      if (failure) retries.releaseRetry(request);
      throw thrown;
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

/** The error that ends the request, with the verdict over all its tries. */
function buildFinalError(
  error: RouterError,
  progress: AnswerProgress,
): RouterError {
  return new RouterError(error.code, error.message, {
    verdict: mergeVerdicts(progress.verdict, error.verdict),
    retryAfterMs: error.retryAfterMs,
    field: error.field,
    cause: error,
  });
}
