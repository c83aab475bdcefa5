/** Runs a request on one slot: a try and, where it helps, its resumption. */
import type {Clock} from '../../common/clock.js';
import {toRouterError, type RouterError} from '../../common/errors.js';
import type {Metrics} from '../../common/metrics.js';
import {mergeVerdicts} from '../../common/verdict.js';
import type {Dispatch, Slot, SlotOutcome} from '../dispatch/dispatch.js';
import type {
  AdapterTable,
  EndpointAdapter,
  EndpointCall,
} from '../endpoints/endpoint_adapter.js';
import type {AnswerProgress, ProgressEvent} from './answer_progress.js';
import {MAX_TRIES_ON_SLOT} from './constants.js';
import type {ExecutionRequest} from './execution.js';
import type {RequestWatch} from './request_watch.js';
import type {RetryPolicy} from './retry_policy.js';
import {createSlotUse, type SlotUse} from './slot_use.js';

/** What running a request needs of the instance. */
export interface RunDependencies {
  clock: Clock;
  dispatch: Dispatch;
  adapters: AdapterTable;
  metrics: Metrics;
}

/** How the use of a slot ended. */
export type SlotEnding =
  | {kind: 'answered'}
  /** The slot was wanted for online work; the request goes on elsewhere. */
  | {kind: 'yielded'}
  | {kind: 'failed'; error: RouterError};

/** Runs a request on one slot. */
export interface SlotRunner {
  /**
   * `slots` were used before, and `failure` ended the last one. Throws
   * RouterError when none can be had.
   */
  acquire(slots: number, failure: RouterError | undefined): Promise<void>;
  /** Throws RouterError when the request itself must end. */
  run(retries: RetryPolicy): AsyncGenerator<ProgressEvent, SlotEnding>;
}

/** How a slot is given back after an error. */
const OUTCOME_OF_ERROR: Partial<
  Record<RouterError['code'], SlotOutcome['kind']>
> = {endpoint_silent: 'silent'};

/** For one slot; each slot has a runner of its own. */
export function createSlotRunner(
  request: ExecutionRequest,
  progress: AnswerProgress,
  watch: RequestWatch,
  {clock, dispatch, adapters, metrics}: RunDependencies,
): SlotRunner {
  const {document} = request.service;
  const adapter = adapters[document.service.kind];
  const resumptions = metrics.createCounter(
    'resumptions_total',
    'Broken answers that went on at their offset on the same endpoint.',
  );
  let use: SlotUse;
  let callId = request.requestId;

  function buildCall(slot: Slot, signal: AbortSignal): EndpointCall {
    return {
      requestId: callId,
      endpoint: slot.endpoint,
      limits: document.endpoint,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      offset: progress.countEvents(),
      freshConnection: !request.idempotent,
      signal,
    };
  }

  async function* runTry(call: EndpointCall): AsyncGenerator<ProgressEvent> {
    progress.startTry();
    for await (const event of adapter.send(call)) {
      use.noteEvent();
      const fresh = progress.note(event);
      if (fresh && adapter.canResume) {
        yield replaceCallId(fresh, callId, request.requestId);
      } else if (fresh) yield fresh;
    }
  }

  async function* runOnSlot(
    call: EndpointCall,
    retries: RetryPolicy,
  ): AsyncGenerator<ProgressEvent> {
    for (let tries = 1; ; tries++) {
      try {
        return yield* runTry(call);
      } catch (thrown) {
        const error = toRouterError(thrown, 'may-have-run');
        const resumes = tries < MAX_TRIES_ON_SLOT && isResumable(error);
        if (!resumes || !retries.drawRetry(request)) throw error;
        progress.verdict = mergeVerdicts(progress.verdict, error.verdict);
        resumptions.inc();
        const offset = progress.countEvents();
        call = {...call, offset, freshConnection: true};
      }
    }
  }

  /** Only a stream that had begun on this slot's engine is there to resume. */
  function isResumable(error: RouterError): boolean {
    if (!adapter.canResume || watch.signal.aborted) return false;
    if (!request.idempotent || use.slot.yieldSignal.aborted) return false;
    if (error.verdict === 'not-run') return false;
    return progress.countEvents() > 0 && progress.isAligned();
  }

  function buildEnding(thrown: unknown): SlotEnding {
    const reason = watch.getReason();
    if (reason) {
      // The reason was found outside the try, so it proves nothing about it.
      progress.verdict = mergeVerdicts(progress.verdict, 'may-have-run');
      throw reason;
    }
    const error = toRouterError(thrown, 'may-have-run');
    progress.verdict = mergeVerdicts(progress.verdict, error.verdict);
    if (use.slot.yieldSignal.aborted && request.idempotent) {
      use.setOutcome('yielded');
      return {kind: 'yielded'};
    }
    use.setOutcome(OUTCOME_OF_ERROR[error.code] ?? 'failed');
    progress.avoid.push(use.slot.endpoint.address);
    return {kind: 'failed', error};
  }

  return {
    async acquire(slots, failure) {
      // Another id on each slot: a late cancel or answer of the last one must
      // not meet this one, which may run on the same engine.
      if (slots > 0) callId = `${request.requestId}.${slots}`;
      try {
        const slot = await acquireSlot(request, callId, progress, watch, {
          dispatch,
        });
        use = createSlotUse(clock, slot);
      } catch (thrown) {
        // What failed the last try says more than that no other slot is free.
        if (failure && !watch.signal.aborted) throw failure;
        throw thrown;
      }
    },
    async *run(retries) {
      const abort = mergeSignals(
        watch.signal,
        request.idempotent ? use.slot.yieldSignal : undefined,
      );
      const call = buildCall(use.slot, abort.signal);
      let sent = false;
      let mayRun = false;
      try {
        request.authorize();
        sent = mayRun = true;
        yield* runOnSlot(call, retries);
        mayRun = false;
        use.setOutcome('answered');
        return {kind: 'answered'};
      } catch (thrown) {
        if (!sent) throw thrown;
        mayRun = toRouterError(thrown, 'may-have-run').verdict !== 'not-run';
        return buildEnding(thrown);
      } finally {
        abort.close();
        use.release();
        if (mayRun) cancelCall(adapter, call);
      }
    },
  };
}

/** An engine goes on with a stream whose connection closed, to be resumed. */
function cancelCall(adapter: EndpointAdapter, call: EndpointCall) {
  adapter
    .cancel({...call, signal: new AbortController().signal})
    .catch(() => {});
}

async function acquireSlot(
  request: ExecutionRequest,
  callId: string,
  progress: AnswerProgress,
  watch: RequestWatch,
  {dispatch}: Pick<RunDependencies, 'dispatch'>,
): Promise<Slot> {
  const pending = dispatch.acquireSlot({
    ...request,
    requestId: callId,
    avoid: progress.avoid,
    signal: watch.signal,
  });
  try {
    return await watch.awaitOrEnd(pending);
  } catch (thrown) {
    // A slot that is granted after the request has ended would stay taken.
    pending.then(
      slot => slot.release({kind: 'cancelled', tokens: 0}),
      () => {},
    );
    throw toRouterError(thrown, 'not-run');
  }
}

/** A signal that aborts with the first of two. */
function mergeSignals(
  first: AbortSignal,
  second: AbortSignal | undefined,
): {signal: AbortSignal; close(): void} {
  const controller = new AbortController();
  const sources = second ? [first, second] : [first];
  const forward = () => controller.abort();
  if (sources.some(source => source.aborted)) forward();
  for (const source of sources) source.addEventListener('abort', forward);
  return {
    signal: controller.signal,
    close() {
      for (const source of sources) {
        source.removeEventListener('abort', forward);
      }
    },
  };
}

/** The caller sees one id, whichever slot an event came from. */
function replaceCallId(
  event: ProgressEvent,
  callId: string,
  requestId: string,
): ProgressEvent {
  if (event.kind !== 'data' || callId === requestId) return event;
  const text = event.payload.toString().replace(callId, requestId);
  return {...event, payload: Buffer.from(text)};
}
