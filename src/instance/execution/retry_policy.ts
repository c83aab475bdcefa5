/** Whether a failed request is tried again, and at whose expense. */
import type {Clock} from '../../common/clock.js';
import {RouterError} from '../../common/errors.js';
import type {Metrics} from '../../common/metrics.js';
import {
  createRetryBudget,
  drawRetry,
  noteRequest,
  releaseRetry,
  type RetryBudget,
} from '../../decisions/retry_budget.js';
import type {AdapterTable} from '../endpoints/endpoint_adapter.js';
import type {AnswerProgress} from './answer_progress.js';
import {BUDGET_RETRY_AFTER_MS, MAX_TRIES} from './constants.js';
import type {ExecutionRequest} from './execution.js';

/** The retry budgets of an instance, one for each service. */
export interface RetryPolicy {
  /** A new request of the service earns part of a retry. */
  noteRequest(request: ExecutionRequest): void;
  /** Takes one retry if the budget holds one. */
  drawRetry(request: ExecutionRequest): boolean;
  /** Gives back a retry for which no slot could be had. */
  releaseRetry(request: ExecutionRequest): void;
  /** Throws `failure` when the request must not or cannot be tried again. */
  checkRetry(
    request: ExecutionRequest,
    progress: AnswerProgress,
    failure: RouterError,
    tries: number,
  ): void;
  describeState(): object;
}

/** Starts with full budgets. */
export function createRetryPolicy(
  clock: Clock,
  adapters: AdapterTable,
  metrics: Metrics,
): RetryPolicy {
  const budgets = new Map<string, RetryBudget>();
  const counter = metrics.createCounter(
    'retries_total',
    'Tries after the first, and those the retry budget refused.',
    ['outcome'],
  );

  function findBudget(service: string): RetryBudget {
    return budgets.get(service) ?? createRetryBudget(clock.now());
  }

  function drawOne(request: ExecutionRequest): boolean {
    const {name} = request.service.document.service;
    const {granted, budget} = drawRetry(findBudget(name), clock.now());
    budgets.set(name, budget);
    counter.inc({outcome: granted ? 'granted' : 'refused'});
    return granted;
  }

  return {
    noteRequest(request) {
      const {name} = request.service.document.service;
      budgets.set(name, noteRequest(findBudget(name), clock.now()));
    },
    drawRetry: drawOne,
    releaseRetry(request) {
      const {name} = request.service.document.service;
      budgets.set(name, releaseRetry(findBudget(name), clock.now()));
    },
    checkRetry(request, progress, failure, tries) {
      if (tries >= MAX_TRIES || clock.now() >= request.deadline) throw failure;
      if (failure.verdict !== 'not-run' && !request.idempotent) throw failure;
      const {kind} = request.service.document.service;
      if (progress.hasHead() && !adapters[kind].canResume) throw failure;
      if (!progress.canReplay()) throw failure;
      if (!drawOne(request)) throw withRetryAfter(failure);
    },
    describeState: () =>
      Object.fromEntries(
        [...budgets].map(([service, {retries}]) => [service, retries]),
      ),
  };
}

/** Endpoints are failing fast: a caller that comes back at once adds to it. */
function withRetryAfter(failure: RouterError): RouterError {
  return new RouterError(failure.code, failure.message, {
    verdict: failure.verdict,
    retryAfterMs: failure.retryAfterMs ?? BUDGET_RETRY_AFTER_MS,
    cause: failure,
  });
}
