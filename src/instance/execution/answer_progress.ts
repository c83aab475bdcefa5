/**
 * How far the answer of a request has come over all its tries, and whether an
 * answer that begins anew goes on with it.
 *
 * Failure it answers: an engine dies in the middle of a stream and another
 * runs the request again. Engines do not promise the same text twice, so
 * joining the second run to the first at an offset may give a mixture that no
 * run has produced. Symptom: a whole looking, wrong answer. Here the second run
 * must first repeat, chunk for chunk, what was already sent; then the whole
 * answer is the second run's own. When it differs, the answer ends in an error.
 */
import {RouterError} from '../../common/errors.js';
import type {Verdict} from '../../common/verdict.js';
import type {EndpointEvent} from '../endpoints/endpoint_adapter.js';
import {MAX_REPLAY_BYTES} from './constants.js';

/** `restart`: what came before it is void. Only whole answers get it. */
export type ProgressEvent = EndpointEvent | {kind: 'restart'};

/** What is known of a request that is being tried. */
export interface AnswerProgress {
  verdict: Verdict;
  /** Endpoints that failed it. */
  avoid: string[];
  /** Another try begins; what it repeats is not known before its head. */
  startTry(): void;
  /** Data events passed on so far. */
  countEvents(): number;
  hasHead(): boolean;
  /**
   * Whether the run now being read has repeated all that was passed on: only
   * then is its stream the one to resume.
   */
  isAligned(): boolean;
  /** Whether another endpoint's answer could go on with this one. */
  canReplay(): boolean;
  /**
   * Takes in an event of a try and returns what of it is new. Throws
   * RouterError when it does not go on with what came before.
   */
  note(event: EndpointEvent): ProgressEvent | undefined;
}

/** `streamed`: the consumer passes events on, so none can be taken back. */
export function createAnswerProgress(streamed: boolean): AnswerProgress {
  let head: {status: number} | undefined;
  let passedOn = 0;
  let replayed = 0;
  let keptBytes = 0;
  let kept: Buffer[] | undefined = streamed ? [] : undefined;

  function storePayload(payload: Buffer) {
    keptBytes += payload.length;
    if (keptBytes > MAX_REPLAY_BYTES) kept = undefined;
    kept?.push(payload);
  }

  function noteHead(
    event: Extract<EndpointEvent, {kind: 'head'}>,
  ): ProgressEvent | undefined {
    replayed = event.resumedAt ?? 0;
    if (!head) {
      head = event;
      return event;
    }
    if (event.status !== head.status) {
      throw failMismatch(`the second run has status ${event.status}`);
    }
    if (streamed || replayed === passedOn) return undefined;
    passedOn = 0;
    return {kind: 'restart'};
  }

  function noteData(
    event: Extract<EndpointEvent, {kind: 'data'}>,
  ): ProgressEvent | undefined {
    if (event.offset >= passedOn) {
      replayed++;
      passedOn++;
      storePayload(event.payload);
      return event;
    }
    if (!isSameChunk(kept?.[event.offset], event.payload)) {
      throw failMismatch('a second run gave another text');
    }
    replayed++;
    return undefined;
  }

  return {
    verdict: 'not-run',
    avoid: [],
    startTry() {
      replayed = -1;
    },
    countEvents: () => passedOn,
    hasHead: () => head !== undefined,
    isAligned: () => replayed === passedOn,
    canReplay: () => !streamed || passedOn === 0 || kept !== undefined,
    note(event) {
      if (event.kind === 'head') return noteHead(event);
      if (event.kind === 'data') return noteData(event);
      if (replayed >= passedOn) return event;
      throw failMismatch('a second run ended earlier');
    },
  };
}

/** Chunks are the same when their choices are: ids and times may differ. */
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
