/** Runs a request on one slot: one attempt and, if possible, its resumption. */
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
import {selectGuard} from '../quarantine/select_guard.js';
import type {ContentGuard} from '../quarantine/quarantine.js';
import {buildRunSubject} from '../quarantine/run_subject.js';
import type {Trial} from '../quarantine/trials.js';
import {MAX_ATTEMPTS_PER_SLOT} from './constants.js';
import type {ExecutionRequest} from './execution.js';
import {mergeSignals, type LinkedSignal} from './linked_signal.js';
import type {RequestWatch} from './request_watch.js';
import type {RetryPolicy} from './retry_policy.js';
import {acquireSlot} from './slot_acquisition.js';
import {createSlotUse, type SlotUse} from './slot_use.js';

export interface RunDependencies {
  clock: Clock;
  dispatch: Dispatch;
  adapters: AdapterTable;
  quarantine: ContentGuard;
  metrics: Metrics;
}

/** Outcome of a request on one slot. */
export type SlotEnding =
  | {kind: 'answered'}
  /** The slot was needed for online work; the request continues on another. */
  | {kind: 'yielded'}
  | {kind: 'failed'; error: RouterError};

/** What follows a failed attempt: a resumption, or the end of the slot. */
export type AttemptOutcome = {kind: 'resume'; call: EndpointCall} | SlotEnding;

/** The state and decisions of a request on one slot. */
export interface SlotRunner {
  /**
   * Acquires the slot. `slots` is the number of slots used before, and
   * `failure` ended the last of them. Throws RouterError when no slot is
   * granted.
   */
  acquire(slots: number, failure: RouterError | undefined): Promise<void>;
  /** Starts the first attempt. Throws RouterError when the key is not valid. */
  start(): EndpointCall;
  /** Returns an event if it is new; throws RouterError when it does not fit. */
  note(event: EndpointEvent): ProgressEvent | undefined;
  /** Records that the response is complete. */
  finish(): SlotEnding;
  /** Handles a failed attempt. Throws RouterError when the request must end. */
  handleFailure(thrown: unknown): AttemptOutcome;
  /** Releases the slot and cancels the call on the endpoint; called once. */
  close(): void;
}

/** Outcome with which a slot is released after an error; `failed` if absent. */
const OUTCOME_OF_ERROR: Partial<
  Record<RouterError['code'], SlotOutcome['kind']>
> = {endpoint_silent: 'silent'};

/** Creates a runner for one slot; each slot has its own. */
export function createSlotRunner(
  request: ExecutionRequest,
  progress: AnswerProgress,
  watch: RequestWatch,
  retries: RetryPolicy,
  {clock, dispatch, adapters, metrics, ...dependencies}: RunDependencies,
): SlotRunner {
  const quarantine = selectGuard(dependencies.quarantine, request.workClass);
  const {document} = request.service;
  const subject = buildRunSubject(
    computeContentId({
      ...request,
      host: document.service.name,
      target: request.path,
    }),
    request.prefixHashes,
  );
  const adapter = adapters[document.service.kind];
  // A request that must not be repeated cannot yield, because its outcome would
  // be unknown.
  const canYield = request.workClass === 'batch' && request.idempotent;
  const resumptions = metrics.createCounter(
    'resumptions_total',
    'Broken answers that went on at their offset on the same endpoint.',
  );
  let use: SlotUse;
  let callId = request.requestId;
  let call: EndpointCall | undefined;
  let abort: LinkedSignal | undefined;
  let attempts = 0;
  let mayRun = false;
  let trial: Trial | undefined;

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

  /** Whether the engine of this slot has a stream that can be resumed. */
  function isResumable(error: RouterError): boolean {
    if (!adapter.canResume || attempts >= MAX_ATTEMPTS_PER_SLOT) return false;
    if (!request.idempotent || isYielded()) return false;
    if (error.verdict === 'not-run') return false;
    return progress.countEvents() > 0 && progress.isAligned();
  }

  function noteLoss(error: RouterError) {
    if (!isConnectionLost(error.cause)) return;
    const lostTrial = trial;
    trial = undefined;
    void quarantine.noteLoss({
      requestId: request.requestId,
      ...subject,
      trial: lostTrial,
      endpoint: use.slot.endpoint,
      hadAnswer: progress.countEvents() > 0,
    });
  }

  function handleError(error: RouterError): AttemptOutcome {
    noteLoss(error);
    const reason = watch.getReason();
    if (reason) {
      // The reason is unrelated to the attempt, so the request may have run.
      progress.verdict = mergeVerdicts(progress.verdict, 'may-have-run');
      throw reason;
    }
    progress.verdict = mergeVerdicts(progress.verdict, error.verdict);
    if (call && isResumable(error) && retries.drawRetry(request)) {
      resumptions.inc();
      progress.startAttempt();
      attempts++;
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
      // Each slot gets its own id. A late cancellation or response of the last
      // call must not affect this one, which may run on the same engine.
      if (slots > 0) callId = `${request.requestId}.${slots}`;
      quarantine.checkQuarantine(subject);
      trial = await quarantine.acquireTrial(
        subject,
        request.deadline - clock.now(),
      );
      try {
        const slot = await acquireSlot(
          dispatch,
          request,
          callId,
          progress,
          watch,
        );
        use = createSlotUse(clock, slot);
      } catch (thrown) {
        trial?.release();
        // The failure of the last attempt is more informative than a refusal.
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
      quarantine.checkQuarantine(subject);
      progress.startAttempt();
      attempts = 1;
      mayRun = true;
      return call;
    },
    note(event) {
      if (event.kind === 'data') use.noteToken();
      const newEvent = progress.note(event);
      if (newEvent?.kind === 'data' && !progress.mayRestart()) {
        progress.version ??= use.slot.endpoint.version;
      }
      const isRenamed = callId !== request.requestId && adapter.canResume;
      return newEvent && isRenamed
        ? replaceCallId(newEvent, callId, request.requestId)
        : newEvent;
    },
    finish() {
      mayRun = false;
      quarantine.noteAnswered(subject, true);
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
      trial?.release();
      use.release();
      if (mayRun && call) cancelCall(adapter, call);
    },
  };
}

/**
 * Cancels a call explicitly, because an engine continues a stream whose
 * connection was closed, so that it can be resumed.
 */
function cancelCall(adapter: EndpointAdapter, call: EndpointCall) {
  adapter
    .cancel({...call, signal: new AbortController().signal})
    .catch(() => {});
}

/** Restores the request's id, so that the caller sees one id for all slots. */
function replaceCallId(
  event: ProgressEvent,
  callId: string,
  requestId: string,
): ProgressEvent {
  if (event.kind !== 'data') return event;
  const text = event.payload.toString().replace(callId, requestId);
  return {...event, payload: Buffer.from(text)};
}
