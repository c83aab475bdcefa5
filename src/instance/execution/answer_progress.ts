/**
 * Tracks how much of a request's response has been forwarded over all attempts,
 * and checks whether another run's response can continue it.
 *
 * When an engine fails in the middle of a stream, another engine runs the
 * request again. Engines do not guarantee the same text twice, so that joining
 * the second run to the first at an offset may give a mixture that no run has
 * produced: a response that looks complete but is wrong.
 *
 * Therefore the second run must first repeat, chunk by chunk, what was already
 * sent, which makes the complete response the second run's own. If the second
 * run differs, the response ends in an error.
 */
import {RouterError} from '../../common/errors.js';
import type {Verdict} from '../../common/verdict.js';
import type {EndpointEvent} from '../endpoints/endpoint_adapter.js';
import {MAX_REPLAY_BYTES} from './constants.js';

/** `restart` voids all events before it; only collected responses get it. */
export type ProgressEvent = EndpointEvent | {kind: 'restart'};

/** Progress of a request over its attempts. */
export interface AnswerProgress {
  verdict: Verdict;
  /** Endpoints on which the request failed. */
  avoid: string[];
  /**
   * Version of the software that wrote what was forwarded and cannot be revoked; only
   * endpoints of this version can repeat it.
   */
  version?: string;
  /** Starts another attempt; its offset is unknown until its head. */
  startAttempt(): void;
  /** Number of data events forwarded so far. */
  countEvents(): number;
  hasHead(): boolean;
  /**
   * Whether the current run has repeated everything that was forwarded. Only
   * then can its stream be resumed.
   */
  isAligned(): boolean;
  /** Whether what was forwarded can be revoked, so that any run may replace it. */
  mayRestart(): boolean;
  /** Whether another endpoint's response could continue this one. */
  canReplay(): boolean;
  /**
   * Processes an event of an attempt. Returns it unless it repeats a forwarded
   * one; throws RouterError when it does not continue the events before it.
   */
  note(event: EndpointEvent): ProgressEvent | undefined;
}

/** With `streamed` the consumer forwards events, which cannot be revoked. */
export function createAnswerProgress(streamed: boolean): AnswerProgress {
  let head: {status: number} | undefined;
  let forwardedCount = 0;
  let replayedCount = 0;
  let storedBytes = 0;
  let storedPayloads: Buffer[] | undefined = streamed ? [] : undefined;

  function storePayload(payload: Buffer) {
    storedBytes += payload.length;
    if (storedBytes > MAX_REPLAY_BYTES) storedPayloads = undefined;
    storedPayloads?.push(payload);
  }

  function noteHead(
    event: Extract<EndpointEvent, {kind: 'head'}>,
  ): ProgressEvent | undefined {
    replayedCount = event.resumedAt ?? 0;
    if (!head) {
      head = event;
      return event;
    }
    if (event.status !== head.status) {
      throw failMismatch(`the second run has status ${event.status}`);
    }
    if (streamed || replayedCount === forwardedCount) return undefined;
    forwardedCount = 0;
    return {kind: 'restart'};
  }

  function noteData(
    event: Extract<EndpointEvent, {kind: 'data'}>,
  ): ProgressEvent | undefined {
    if (event.offset >= forwardedCount) {
      replayedCount++;
      forwardedCount++;
      storePayload(event.payload);
      return event;
    }
    if (!isSameChunk(storedPayloads?.[event.offset], event.payload)) {
      throw failMismatch('a second run gave another text');
    }
    replayedCount++;
    return undefined;
  }

  return {
    verdict: 'not-run',
    avoid: [],
    startAttempt() {
      replayedCount = -1;
    },
    countEvents: () => forwardedCount,
    hasHead: () => head !== undefined,
    isAligned: () => replayedCount === forwardedCount,
    mayRestart: () => !streamed,
    canReplay: () =>
      !streamed || forwardedCount === 0 || storedPayloads !== undefined,
    note(event) {
      if (event.kind === 'head') return noteHead(event);
      if (event.kind === 'data') return noteData(event);
      if (replayedCount >= forwardedCount) return event;
      throw failMismatch('a second run ended earlier');
    },
  };
}

/** Compares only the choices of two chunks, as ids and times may differ. */
function isSameChunk(a: Buffer | undefined, b: Buffer): boolean {
  if (a === undefined) return false;
  if (a.equals(b)) return true;
  try {
    return formatChoices(a) === formatChoices(b);
  } catch {
    return false;
  }
}

function formatChoices(payload: Buffer): string {
  return JSON.stringify(JSON.parse(payload.toString()).choices);
}

function failMismatch(message: string): RouterError {
  return new RouterError(
    'endpoint_failed',
    `the answer broke off and cannot go on: ${message}`,
    {verdict: 'may-have-run'},
  );
}
