/** Runs a request once on the endpoint of a slot. */
import type {IncomingHttpHeaders} from 'node:http';
import type {Clock} from '../../common/clock.js';
import {RouterError} from '../../common/errors.js';
import {isFinalStatus} from '../../common/response_status.js';
import type {HttpConnections} from '../../common/http_connections.js';
import type {ListedInstance} from '../../stores/instance_list.js';
import type {Slot, SlotOutcome} from '../dispatch/dispatch.js';
import {isConnectionRefused} from '../endpoints/connection_loss.js';
import {createSilenceTimer} from '../endpoints/silence_guard.js';
import {createSlotUse} from '../execution/slot_use.js';
import {SILENCE_RECHECK_MS} from './constants.js';
import {
  openExchange,
  type EndpointExchange,
  type ExchangeEnd,
  type ReceivedResponse,
} from './endpoint_exchange.js';
import type {AnswerHead, EndpointProtocol, RawHeaders} from './protocols.js';
import {createDiscardLimit, createRunProgress} from './run_progress.js';

/** The request to run. */
export interface RunRequest {
  id: string;
  method: string;
  target: string;
  host: string;
  headers: RawHeaders;
  body: Buffer;
  account: string | undefined;
  /** How long the endpoint may work, in ms. */
  remainingMs: number;
  resumeAfter?: string;
  /**
   * Time without data after which the endpoint counts as silent, in ms; Infinity if
   * nobody else could go on.
   */
  silenceMs: number;
  /** Whether the response may be read in ticks, because nobody waits for its events. */
  isReadInTicks?: boolean;
}

/** Receives the response. */
export interface RunListener {
  /**
   * Decides whether the body of a response with this head is read or discarded.
   */
  onAnswer(status: number, headers: IncomingHttpHeaders): 'take' | 'discard';
  /**
   * Returns whether more data is accepted immediately; if not, the listener
   * calls `resume` when it is. Throws if the data does not match the request.
   */
  onData(chunk: Buffer, resume: () => void): boolean;
  /**
   * Number of complete events so far. Without it, or while it is undefined, any bytes of
   * the body show that the endpoint goes on.
   */
  countEvents?(): number | undefined;
  /** Called when the first bytes of the request can be written to the endpoint. */
  onSent?(): void;
  /**
   * Called when the endpoint was silent for `silenceMs`, and again while it stays so.
   * Without it, silence ends the run.
   */
  onSilent?(): void;
}

/** A run whose endpoint closed or reset the connection. */
export interface ConnectionLoss {
  endpoint: ListedInstance;
  /** Whether a part of the response body had been received. */
  hadAnswer: boolean;
}

/** How a run ended. */
export type RunEnd =
  /** The endpoint's response was received completely. */
  | {kind: 'answered'; status: number}
  /** It is proved that the endpoint did not run the request. */
  | {kind: 'not-run'; reason: string}
  /** It may have run; there is no complete response. */
  | {kind: 'broken'; reason: string; loss?: ConnectionLoss}
  /** `signal` ended it; it may have run only if `wasSent`. */
  | {kind: 'stopped'; wasSent: boolean};

/** A run that has ended, and what was received of the response. */
export type EndedRun = RunEnd & {response?: ReceivedResponse};

/** Whether the endpoint may have begun to run the request. */
export function hasPossiblyRun(ended: RunEnd): boolean {
  if (ended.kind === 'stopped') return ended.wasSent;
  return ended.kind !== 'not-run';
}

export interface SlotRunDependencies {
  clock: Clock;
  connections: HttpConnections;
  protocol: EndpointProtocol;
  /** Called when another endpoint responded at the address of the named one. */
  noteMisdirected: (endpointName: string) => void;
  /** Called for each response whose head was received. */
  noteResponse: (response: ReceivedResponse) => void;
}

const STOPPED_BEFORE_SEND: RunEnd = {kind: 'stopped', wasSent: false};

/** Runs the request on the slot's endpoint and releases the slot. */
export async function runOnSlot(
  {
    clock,
    connections,
    protocol,
    noteMisdirected,
    noteResponse,
  }: SlotRunDependencies,
  slot: Slot,
  request: RunRequest,
  listener: RunListener,
  signal: AbortSignal,
): Promise<EndedRun> {
  const use = createSlotUse(clock, slot);
  if (signal.aborted) {
    use.release();
    return STOPPED_BEFORE_SEND;
  }
  let isSilent = false;
  const guard = createSilenceTimer(error => {
    isSilent = true;
    if (!listener.onSilent) {
      exchange.abort(error);
      return;
    }
    // The dispatcher has to know at once, or it sends more to a silent endpoint.
    use.setOutcome('silent');
    use.release();
    listener.onSilent();
    guard.start(SILENCE_RECHECK_MS);
  });
  let head: AnswerHead | undefined;
  let status = 0;
  let isDiscarded = false;
  let hadAnswer = false;
  const progress = createRunProgress(clock, listener.countEvents);
  const isDiscardedEnough = createDiscardLimit(clock);

  function noteSignOfLife() {
    isSilent = false;
    guard.start(request.silenceMs);
  }

  const exchange: EndpointExchange = openExchange(
    connections,
    {
      address: slot.endpoint.address,
      method: request.method,
      target: request.target,
      body: request.body,
      isReadInTicks: request.isReadInTicks,
      headers: protocol.encodeHeaders({
        requestId: request.id,
        headers: request.headers,
        host: request.host,
        account: request.account,
        endpointName: slot.endpoint.name,
        remainingMs: request.remainingMs,
        resumeAfter: request.resumeAfter,
      }),
    },
    {
      onSent: () => listener.onSent?.(),
      onHead(receivedStatus, headers) {
        if (signal.aborted) return;
        if (!isFinalStatus(receivedStatus)) {
          throw new Error(`the answer has the status ${receivedStatus}`);
        }
        status = receivedStatus;
        head = protocol.decodeHead(receivedStatus, headers, request.id);
        if (head.kind === 'mismatch') throw new Error(head.reason);
        use.noteLoad(head.load);
        isDiscarded =
          head.kind === 'not-run' ||
          listener.onAnswer(receivedStatus, headers) === 'discard';
      },
      onData(chunk) {
        // Another endpoint may go on with the stream from here.
        if (signal.aborted) return;
        use.noteToken();
        hadAnswer = true;
        if (isDiscarded) {
          // The status says all of this body, which may have no end.
          if (isDiscardedEnough(chunk.length)) exchange.discardRest();
          return;
        }
        const wantsMore = listener.onData(chunk, resume);
        if (progress.checkData()) noteSignOfLife();
        if (wantsMore) return;
        guard.stop();
        exchange.pause();
      },
    },
  );
  const abort = () =>
    exchange.abort(
      signal.reason instanceof RouterError
        ? signal.reason
        : new Error('the run was stopped'),
    );
  signal.addEventListener('abort', abort);
  guard.start(request.silenceMs);

  function resume() {
    progress.restart();
    noteSignOfLife();
    exchange.resume();
  }

  const ended = await exchange.ended;
  guard.close();
  signal.removeEventListener('abort', abort);
  if (head?.kind === 'not-run' && head.isMisdirected) {
    noteMisdirected(slot.endpoint.name);
  }
  const loss = {endpoint: slot.endpoint, hadAnswer};
  const end = describeEnd(ended, head, status, signal, loss);
  use.setOutcome(toOutcome(end, {slot, isSilent, ended}));
  use.release();
  const response = exchange.describeResponse();
  if (response) noteResponse(response);
  return {...end, response};
}

function describeEnd(
  ended: ExchangeEnd,
  head: AnswerHead | undefined,
  status: number,
  signal: AbortSignal,
  loss: ConnectionLoss,
): RunEnd {
  if (head?.kind === 'not-run') {
    return {kind: 'not-run', reason: `refused with ${status}`};
  }
  if (ended.kind === 'complete') return {kind: 'answered', status};
  if (signal.aborted && !(signal.reason instanceof RouterError)) {
    return {kind: 'stopped', wasSent: ended.kind === 'broken'};
  }
  const reason = ended.error.message;
  if (ended.kind === 'never-sent') return {kind: 'not-run', reason};
  return {
    kind: 'broken',
    reason,
    loss: ended.isConnectionLost ? loss : undefined,
  };
}

function describeUnsent({
  isTimeout,
  error,
}: Extract<ExchangeEnd, {kind: 'never-sent'}>): SlotOutcome['kind'] {
  if (isTimeout) return 'silent';
  return isConnectionRefused(error) ? 'unreachable' : 'refused';
}

/** Outcome of the run that is reported to the scheduler. */
function toOutcome(
  end: RunEnd,
  {slot, isSilent, ended}: {slot: Slot; isSilent: boolean; ended: ExchangeEnd},
): SlotOutcome['kind'] {
  const handlers: Record<RunEnd['kind'], () => SlotOutcome['kind']> = {
    answered: () =>
      (end as {status: number}).status >= 500 ? 'failed' : 'answered',
    'not-run': () =>
      ended.kind === 'never-sent' ? describeUnsent(ended) : 'refused',
    broken: () => (isSilent ? 'silent' : 'failed'),
    stopped: () => (slot.yieldSignal.aborted ? 'yielded' : 'cancelled'),
  };
  return handlers[end.kind]();
}
