/** A request on one slot: a try and, where it helps, its resumption. */
import type {Clock} from '../../common/clock.js';
import {toRouterError, type RouterError} from '../../common/errors.js';
import type {Metrics} from '../../common/metrics.js';
import {computeContentId} from '../../common/ids.js';
import {mergeVerdicts} from '../../common/verdict.js';
import type {Dispatch, Slot, SlotOutcome} from '../dispatch/dispatch.js';
import type {
  AdapterTable,
  EndpointAdapter,
  EndpointCall,
  EndpointEvent,
} from '../endpoints/endpoint_adapter.js';
import type {AnswerProgress, ProgressEvent} from './answer_progress.js';
import {isConnectionLost} from '../endpoints/connection_loss.js';
import type {ContentGuard} from '../quarantine/quarantine.js';
import {MAX_TRIES_ON_SLOT} from './constants.js';
import type {ExecutionRequest} from './execution.js';
import {mergeSignals, type LinkedSignal} from './linked_signal.js';
import type {RequestWatch} from './request_watch.js';
import type {RetryPolicy} from './retry_policy.js';
import {acquireSlot} from './slot_acquisition.js';
import {createSlotUse, type SlotUse} from './slot_use.js';

/** What running a request needs of the instance. */
export interface RunDependencies {
  clock: Clock;
  dispatch: Dispatch;
  adapters: AdapterTable;
  quarantine: ContentGuard;
  metrics: Metrics;
}

/** How the use of a slot ended. */
export type SlotEnding =
  | {kind: 'answered'}
  /** The slot was wanted for online work; the request goes on elsewhere. */
  | {kind: 'yielded'}
  | {kind: 'failed'; error: RouterError};

/** What follows a failed try: another on the same slot, or the slot's end. */
export type TryOutcome = {kind: 'resume'; call: EndpointCall} | SlotEnding;

/** The decisions of a request on one slot. */
export interface SlotRunner {
  /**
   * `slots` were used before, and `failure` ended the last one. Throws
   * RouterError when none can be had.
   */
  acquire(slots: number, failure: RouterError | undefined): Promise<void>;
  /** The first try. Throws RouterError when the key is no longer valid. */
  start(): EndpointCall;
  /** What of an event is new; throws RouterError when it does not fit. */
  note(event: EndpointEvent): ProgressEvent | undefined;
  /** The answer is whole. */
  finish(): SlotEnding;
  /** A try failed. Throws RouterError when the request itself must end. */
  handleFailure(thrown: unknown): TryOutcome;
  /** Gives the slot back and tells the endpoint to stop; called once. */
  close(): void;
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
  retries: RetryPolicy,
  {clock, dispatch, adapters, quarantine, metrics}: RunDependencies,
): SlotRunner {
  const {document} = request.service;
  const content = computeContentId({
    ...request,
    host: document.service.name,
    target: request.path,
  });
  const adapter = adapters[document.service.kind];
  // What may not be repeated cannot make way: its outcome would be unclear.
  const canYield = request.workClass === 'batch' && request.idempotent;
  const resumptions = metrics.createCounter(
    'resumptions_total',
    'Broken answers that went on at their offset on the same endpoint.',
  );
  let use: SlotUse;
  let callId = request.requestId;
  let call: EndpointCall | undefined;
  let abort: LinkedSignal | undefined;
  let tries = 0;
  let mayRun = false;

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

  function isYielded(): boolean {
    return canYield && use.slot.yieldSignal.aborted;
  }

  /** Only a stream that had begun on this slot's engine is there to resume. */
  function isResumable(error: RouterError): boolean {
    if (!adapter.canResume || tries >= MAX_TRIES_ON_SLOT) return false;
    if (!request.idempotent || isYielded()) return false;
    if (error.verdict === 'not-run') return false;
    return progress.countEvents() > 0 && progress.isAligned();
  }

  function noteLoss(error: RouterError) {
    if (!isConnectionLost(error.cause)) return;
    void quarantine.noteLoss({
      requestId: request.requestId,
      content,
      endpoint: use.slot.endpoint,
      hadAnswer: progress.countEvents() > 0,
    });
  }

  function handleError(error: RouterError): TryOutcome {
    noteLoss(error);
    const reason = watch.getReason();
    if (reason) {
      // The reason was found outside the try, so it proves nothing about it.
      progress.verdict = mergeVerdicts(progress.verdict, 'may-have-run');
      throw reason;
    }
    progress.verdict = mergeVerdicts(progress.verdict, error.verdict);
    if (call && isResumable(error) && retries.drawRetry(request)) {
      resumptions.inc();
      progress.startTry();
      tries++;
      const offset = progress.countEvents();
      return {kind: 'resume', call: {...call, offset, freshConnection: true}};
    }
    if (isYielded()) {
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
      quarantine.checkHeld(content);
      try {
        const slot = await acquireSlot(
          dispatch,
          request,
          callId,
          progress.avoid,
          watch,
        );
        use = createSlotUse(clock, slot);
      } catch (thrown) {
        // What failed the last try says more than that no other slot is free.
        if (failure && !watch.signal.aborted) throw failure;
        throw thrown;
      }
    },
    start() {
      abort = mergeSignals(
        watch.signal,
        canYield ? use.slot.yieldSignal : undefined,
      );
      call = buildCall(use.slot, abort.signal);
      request.authorize();
      quarantine.checkHeld(content);
      progress.startTry();
      tries = 1;
      mayRun = true;
      return call;
    },
    note(event) {
      if (event.kind === 'data') use.noteToken();
      const fresh = progress.note(event);
      const isRenamed = callId !== request.requestId && adapter.canResume;
      return fresh && isRenamed
        ? replaceCallId(fresh, callId, request.requestId)
        : fresh;
    },
    finish() {
      mayRun = false;
      quarantine.noteAnswered(content);
      use.setOutcome('answered');
      return {kind: 'answered'};
    },
    handleFailure(thrown) {
      const error = toRouterError(thrown, 'may-have-run');
      mayRun = error.verdict !== 'not-run';
      return handleError(error);
    },
    close() {
      abort?.close();
      use.release();
      if (mayRun && call) cancelCall(adapter, call);
    },
  };
}

/** An engine goes on with a stream whose connection closed, to be resumed. */
function cancelCall(adapter: EndpointAdapter, call: EndpointCall) {
  adapter
    .cancel({...call, signal: new AbortController().signal})
    .catch(() => {});
}

/** The caller sees one id, whichever slot an event came from. */
function replaceCallId(
  event: ProgressEvent,
  callId: string,
  requestId: string,
): ProgressEvent {
  if (event.kind !== 'data') return event;
  const text = event.payload.toString().replace(callId, requestId);
  return {...event, payload: Buffer.from(text)};
}
