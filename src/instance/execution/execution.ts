/**
 * Runs one request to its end: a slot, a try, and where it is safe another.
 * Online requests and batch items both go through here.
 */
import type {Clock} from '../../common/clock.js';
import {RouterError, toRouterError} from '../../common/errors.js';
import {mergeVerdicts, type Verdict} from '../../common/verdict.js';
import type {VersionedDocument} from '../configuration/configuration.js';
import type {Dispatch, Slot, WorkClass} from '../dispatch/dispatch.js';
import type {
  AdapterTable,
  EndpointEvent,
} from '../endpoints/endpoint_adapter.js';

const MAX_TRIES = 3;

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
   * Called when a slot is held and the request is about to be sent; throws
   * RouterError (not-run) when its key was withdrawn meanwhile.
   */
  authorize: () => void;
  signal: AbortSignal;
}

/** Runs requests. */
export interface Execution {
  /**
   * The events of the whole answer: one head, data in order without gaps or
   * repeats, one end. Throws RouterError with the verdict over all tries.
   */
  run(request: ExecutionRequest): AsyncIterable<EndpointEvent>;
}

/** What is known of a request that is being tried. */
interface Progress {
  verdict: Verdict;
  headSent: boolean;
  nextOffset: number;
  avoid: string[];
}

/** Ties dispatch to the endpoint adapters. */
export function createExecution(
  clock: Clock,
  dispatch: Dispatch,
  adapters: AdapterTable,
): Execution {
  async function* runTry(
    request: ExecutionRequest,
    progress: Progress,
    slot: Slot,
  ): AsyncGenerator<EndpointEvent> {
    const {document} = request.service;
    request.authorize();
    const events = adapters[document.service.kind].send({
      requestId: request.requestId,
      endpoint: slot.endpoint,
      limits: document.endpoint,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      offset: progress.nextOffset,
      signal: request.signal,
    });
    for await (const event of events) {
      if (event.kind === 'head' && progress.headSent) continue;
      if (event.kind === 'head') progress.headSent = true;
      if (event.kind === 'data') {
        if (event.offset < progress.nextOffset) continue;
        progress.nextOffset = event.offset + 1;
      }
      yield event;
    }
  }

  function isRetryable(
    request: ExecutionRequest,
    progress: Progress,
    error: RouterError,
  ): boolean {
    if (request.signal.aborted || clock.now() >= request.deadline) return false;
    if (error.code === 'key_withdrawn') return false;
    if (error.verdict === 'not-run' && !progress.headSent) return true;
    if (!request.idempotent) return false;
    const {kind} = request.service.document.service;
    return !progress.headSent || adapters[kind].canResume;
  }

  return {
    async *run(request) {
      const progress: Progress = {
        verdict: 'not-run',
        headSent: false,
        nextOffset: 0,
        avoid: [],
      };
      for (let tries = 1; ; tries++) {
        const slot = await dispatch.acquireSlot({
          ...request,
          avoid: progress.avoid,
        });
        const startedAt = clock.now();
        try {
          yield* runTry(request, progress, slot);
          slot.release({
            kind: 'answered',
            firstByteMs: clock.now() - startedAt,
            tokens: progress.nextOffset,
          });
          return;
        } catch (thrown) {
          const error = toRouterError(thrown, 'may-have-run');
          slot.release({kind: 'failed', tokens: progress.nextOffset});
          progress.avoid.push(slot.endpoint.address);
          progress.verdict = mergeVerdicts(progress.verdict, error.verdict);
          if (tries < MAX_TRIES && isRetryable(request, progress, error))
            continue;
          throw new RouterError(error.code, error.message, {
            verdict: progress.verdict,
            retryAfterMs: error.retryAfterMs,
            cause: error,
          });
        }
      }
    },
  };
}
