/**
 * One request on its way over slots and tries: which call comes next, and when
 * it must be given up. The calls themselves are made by execution.ts, whose one
 * generator all events pass through: a generator on each level costs several
 * promises for every token.
 */
import {RouterError} from '../../common/errors.js';
import {mergeVerdicts} from '../../common/verdict.js';
import type {
  EndpointCall,
  EndpointEvent,
} from '../endpoints/endpoint_adapter.js';
import {createAnswerProgress, type ProgressEvent} from './answer_progress.js';
import type {ExecutionRequest} from './execution.js';
import type {RequestWatch} from './request_watch.js';
import type {RetryPolicy} from './retry_policy.js';
import {
  createSlotRunner,
  type RunDependencies,
  type SlotRunner,
  type TryOutcome,
} from './slot_runner.js';

/** The way of one request. */
export interface RequestRun {
  /**
   * The next try, undefined once the answer is whole. Throws RouterError when
   * the request is given up.
   */
  nextCall(): Promise<EndpointCall | undefined>;
  /** What of an event is new; throws RouterError when it does not fit. */
  note(event: EndpointEvent): ProgressEvent | undefined;
  /** The answer is whole. */
  finish(): void;
  /** A try failed. Throws RouterError when the request must end. */
  handleFailure(thrown: unknown): void;
  /** The error that ends the request, with the verdict over all its tries. */
  buildFinalError(error: RouterError): RouterError;
  /** Gives back the slot that is held, whatever happened. */
  close(): void;
}

/** `streamed`: what was passed on cannot be taken back. */
export function createRequestRun(
  request: ExecutionRequest,
  streamed: boolean,
  watch: RequestWatch,
  retries: RetryPolicy,
  dependencies: RunDependencies,
): RequestRun {
  const progress = createAnswerProgress(streamed);
  let runner: SlotRunner | undefined;
  let outcome: TryOutcome | undefined;
  let failure: RouterError | undefined;
  let slots = 0;
  let tries = 0;

  async function startSlot(): Promise<EndpointCall> {
    const next = createSlotRunner(
      request,
      progress,
      watch,
      retries,
      dependencies,
    );
    try {
      await next.acquire(slots, failure);
    } catch (thrown) {
      // A retry that finds no slot is given back to the budget.
      if (failure) retries.releaseRetry(request);
      throw thrown;
    }
    runner = next;
    slots++;
    return next.start();
  }

  function closeSlot() {
    runner?.close();
    runner = undefined;
  }

  function checkRetry() {
    failure = outcome?.kind === 'failed' ? outcome.error : undefined;
    if (!failure) return;
    tries++;
    retries.checkRetry(request, progress, failure, tries);
  }

  return {
    async nextCall() {
      if (outcome?.kind === 'resume') return outcome.call;
      closeSlot();
      if (outcome?.kind === 'answered') return undefined;
      checkRetry();
      return startSlot();
    },
    note: event => runner!.note(event),
    finish() {
      outcome = runner!.finish();
    },
    handleFailure(thrown) {
      outcome = runner!.handleFailure(thrown);
    },
    buildFinalError: error =>
      new RouterError(error.code, error.message, {
        verdict: mergeVerdicts(progress.verdict, error.verdict),
        retryAfterMs: error.retryAfterMs,
        field: error.field,
        cause: error,
      }),
    close: closeSlot,
  };
}
