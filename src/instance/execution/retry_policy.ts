/** Decides whether a failed request is retried, by its service's budget. */
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
import {BUDGET_RETRY_AFTER_MS, MAX_ATTEMPTS} from './constants.js';
import type {ExecutionRequest} from './execution.js';

/** The retry budgets of an instance, one for each service. */
export interface RetryPolicy {
  /** Credits the budget with the part of a retry that a new request earns. */
  noteRequest(request: ExecutionRequest): void;
  /** Takes one retry from the budget; returns whether there was one. */
  drawRetry(request: ExecutionRequest): boolean;
  /** Returns a retry to the budget because no slot was granted for it. */
  releaseRetry(request: ExecutionRequest): void;
  /** Throws `failure` when the request must not or cannot be retried. */
  checkRetry(
    request: ExecutionRequest,
    progress: AnswerProgress,
    failure: RouterError,
    failedAttempts: number,
  ): void;
  describeState(): object;
}

/** Creates a policy with full budgets. */
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

  function drawServiceRetry(request: ExecutionRequest): boolean {
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
    drawRetry: drawServiceRetry,
    releaseRetry(request) {
      const {name} = request.service.document.service;
      budgets.set(name, releaseRetry(findBudget(name), clock.now()));
    },
    checkRetry(request, progress, failure, failedAttempts) {
      if (failedAttempts >= MAX_ATTEMPTS || clock.now() >= request.deadline)
        throw failure;
      if (failure.verdict !== 'not-run' && !request.idempotent) throw failure;
      const {kind} = request.service.document.service;
      if (progress.hasHead() && !adapters[kind].canResume) throw failure;
      if (!progress.canReplay()) throw failure;
      if (!drawServiceRetry(request)) throw withRetryAfter(failure);
    },
    describeState: () =>
      Object.fromEntries(
        [...budgets].map(([service, {retries}]) => [service, retries]),
      ),
  };
}

/**
 * Adds a retry delay to a failure, because callers that retry at once would add
 * load to endpoints that fail fast.
 */
function withRetryAfter(failure: RouterError): RouterError {
  return new RouterError(failure.code, failure.message, {
    verdict: failure.verdict,
    retryAfterMs: failure.retryAfterMs ?? BUDGET_RETRY_AFTER_MS,
    cause: failure,
  });
}
