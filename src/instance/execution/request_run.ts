/**
 * The state of one request over its slots and attempts: it decides which call
 * is made next and when the request is given up. execution.ts makes the calls,
 * so that all events pass through a single generator; a generator on each level
 * would cost several promises for every token.
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
  type AttemptOutcome,
} from './slot_runner.js';

/** One request over its slots and attempts. */
export interface RequestRun {
  /**
   * Returns the call of the next attempt, or undefined once the response is
   * complete. Throws RouterError when the request is given up.
   */
  nextCall(): Promise<EndpointCall | undefined>;
  /** Returns an event if it is new; throws RouterError when it does not fit. */
  note(event: EndpointEvent): ProgressEvent | undefined;
  /** Records that the response is complete. */
  finish(): void;
  /** Handles a failed attempt. Throws RouterError when the request must end. */
  handleFailure(thrown: unknown): void;
  /** Builds the request's final error, with the verdict over all attempts. */
  buildFinalError(error: RouterError): RouterError;
  /** Releases the held slot, whatever the outcome. */
  close(): void;
}

/** With `streamed`, events that were forwarded cannot be revoked. */
export function createRequestRun(
  request: ExecutionRequest,
  streamed: boolean,
  watch: RequestWatch,
  retries: RetryPolicy,
  dependencies: RunDependencies,
): RequestRun {
  const progress = createAnswerProgress(streamed);
  let runner: SlotRunner | undefined;
  let outcome: AttemptOutcome | undefined;
  let failure: RouterError | undefined;
  let slots = 0;
  let failedAttempts = 0;

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
      // A retry that gets no slot is returned to the budget.
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
    failedAttempts++;
    retries.checkRetry(request, progress, failure, failedAttempts);
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
