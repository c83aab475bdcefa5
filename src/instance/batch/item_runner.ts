/** Runs one item of a bundle with retries until it has its final line. */
import {waitUntilAborted} from './abort.js';
import {drawToken} from '../limits/draw_token.js';
import type {Clock} from '../../common/clock.js';
import {RouterError, toRouterError} from '../../common/errors.js';
import {generateId} from '../../common/ids.js';
import {computeRequestPrefixes} from '../../common/prompt_prefix.js';
import type {
  Configuration,
  VersionedDocument,
} from '../configuration/configuration.js';
import {collectCompletion} from '../execution/completions.js';
import type {
  Execution,
  ExecutionRequest,
  CompleteAnswer,
} from '../execution/execution.js';
import type {Limits} from '../limits/limits.js';
import type {BatchMetrics} from './batch_metrics.js';
import type {BatchItem} from './bundle_check.js';
import {MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS} from './constants.js';
import {
  buildStatusError,
  chooseFailureKind,
  isItemFault,
} from './item_failure.js';
import {buildAnswerLine, buildErrorLine, type ItemLine} from './item_lines.js';
import type {Permit, WorkWindow} from './work_window.js';

const CHARACTERS_PER_TOKEN = 4;
const DEFAULT_ANSWER_TOKENS = 128;

/** One item to run. */
export interface ItemTask {
  account: string;
  service: string;
  item: BatchItem;
  window: WorkWindow;
  /** Aborted when the job ended or the lease is lost; the item is stopped. */
  stop: AbortSignal;
  /** Aborted on shutdown; the item is stopped if no endpoint responds yet. */
  drain: AbortSignal;
}

/** Runs items. */
export interface ItemRunner {
  /**
   * Returns the item's final line, or undefined when it was stopped. `permit`
   * is for the first attempt and is always released.
   */
  run(task: ItemTask, permit: Permit): Promise<ItemLine | undefined>;
}

export interface ItemRunnerDependencies {
  clock: Clock;
  configuration: Configuration;
  execution: Execution;
  limits: Limits;
  metrics: BatchMetrics;
}

export function createItemRunner({
  clock,
  configuration,
  execution,
  limits,
  metrics,
}: ItemRunnerDependencies): ItemRunner {
  function findService(task: ItemTask): VersionedDocument {
    const service = configuration.find(task.service);
    if (service) return service;
    throw new RouterError('no_endpoint', 'the service is not declared', {
      verdict: 'not-run',
    });
  }

  /** Draws a token if the service counts items against the request rate. */
  async function drawItemToken(task: ItemTask, service: VersionedDocument) {
    const {batch, account} = service.document;
    const accountLimits = account[task.account];
    if (!batch.items_draw_rate || !accountLimits) return;
    const bucket = {service: task.service, account: task.account};
    await drawToken(limits, bucket, accountLimits);
  }

  async function runAttempt(
    task: ItemTask,
    permit: Permit,
    requestId: string,
    watch: AttemptWatch,
  ): Promise<ItemLine> {
    const service = findService(task);
    await drawItemToken(task, service);
    const {item} = task;
    const body = Buffer.from(JSON.stringify({...item.body, stream: true}));
    const request: ExecutionRequest = {
      requestId,
      service,
      account: task.account,
      workClass: 'batch',
      method: item.method,
      path: item.url,
      headers: {'content-type': 'application/json'},
      body,
      model: item.body.model,
      deadline: clock.now() + service.document.batch.item_deadline,
      promptTokens: Math.ceil(body.length / CHARACTERS_PER_TOKEN),
      answerTokens: getAnswerTokens(item),
      prefixHashes: computeRequestPrefixes(item.body),
      idempotent: service.document.batch.idempotent,
      // An accepted job is completed even if the key of its request is
      // withdrawn later, because the job belongs to the account, which may have
      // other keys.
      authorize: () => {},
      signal: watch.signal,
    };
    const answer = await execution.collect(request, () => {
      permit.markStarted();
      watch.markStarted();
    });
    return buildLine(item, requestId, answer);
  }

  async function waitBeforeRetry(
    task: ItemTask,
    minDelayMs: number,
    error: RouterError,
  ) {
    const stopOrDrain = AbortSignal.any([task.stop, task.drain]);
    const delay = Math.max(
      minDelayMs,
      Math.min(error.retryAfterMs ?? 0, MAX_RETRY_DELAY_MS),
    );
    await waitUntilAborted(clock, delay, stopOrDrain);
  }

  return {
    async run(task, firstPermit) {
      let permit: Permit | undefined = firstPermit;
      let attempts = 0;
      let delayMs = INITIAL_RETRY_DELAY_MS;
      for (;;) {
        if (!permit || task.stop.aborted) {
          permit?.release();
          return undefined;
        }
        const requestId = generateId('item');
        const watch = openAttemptWatch(task);
        let error: RouterError;
        try {
          return await runAttempt(task, permit, requestId, watch);
        } catch (thrown) {
          error = toRouterError(thrown, 'may-have-run');
        } finally {
          watch.close();
          permit.release();
        }
        if (watch.signal.aborted) return undefined;
        const batch = configuration.find(task.service)?.document.batch;
        const kind = chooseFailureKind(error, batch?.idempotent ?? false);
        if (kind === 'attempt') attempts++;
        if (kind === 'final' || attempts >= (batch?.max_attempts ?? 1)) {
          const {code, message, verdict} = error;
          return buildErrorLine(task.item.custom_id, requestId, {
            code,
            message,
            verdict,
          });
        }
        metrics.countItem('retried');
        await waitBeforeRetry(task, delayMs, error);
        delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 2);
        if (task.drain.aborted) return undefined;
        permit = await task.window.acquire(task.stop);
      }
    },
  };
}

/** The abort signal of one attempt. */
interface AttemptWatch {
  signal: AbortSignal;
  /** Marks that an endpoint responds, so that a shutdown waits for it. */
  markStarted(): void;
  close(): void;
}

/** Aborts an attempt on stop, and on shutdown while no endpoint responds. */
function openAttemptWatch({stop, drain}: ItemTask): AttemptWatch {
  const controller = new AbortController();
  const abort = () => controller.abort();
  if (stop.aborted || drain.aborted) abort();
  stop.addEventListener('abort', abort);
  drain.addEventListener('abort', abort);
  return {
    signal: controller.signal,
    markStarted: () => drain.removeEventListener('abort', abort),
    close() {
      stop.removeEventListener('abort', abort);
      drain.removeEventListener('abort', abort);
    },
  };
}

function getAnswerTokens(item: BatchItem): number {
  const {max_tokens: maxTokens} = item.body;
  return typeof maxTokens === 'number' ? maxTokens : DEFAULT_ANSWER_TOKENS;
}

function buildLine(
  item: BatchItem,
  requestId: string,
  {status, payloads}: CompleteAnswer,
): ItemLine {
  if (status === 200) {
    const body = collectCompletion(item.url, payloads);
    return buildAnswerLine(item.custom_id, requestId, status, body);
  }
  if (!isItemFault(status)) throw buildStatusError(status);
  const text = Buffer.concat(payloads).toString('utf8');
  return buildAnswerLine(item.custom_id, requestId, status, parseBody(text));
}

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
