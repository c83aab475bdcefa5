/**
 * Forwards an endpoint's response to the caller unchanged. A resumable stream
 * may be assembled from several runs on different endpoints.
 */
import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import {abortResponse} from '../callers/http_exchange.js';
import {
  createEventEndFinder,
  createEventSplitter,
  type EventSplitter,
} from './event_splitter.js';
import {createEventChecker} from './event_checker.js';
import type {AnswerOutput} from './held_answers.js';
import type {RunListener} from './slot_run.js';

/** Forwards the response of one request to its caller. */
export interface AnswerRelay {
  /**
   * Returns the listener of the next run. After a run with `isLastAttempt`, no
   * other endpoint may run the request.
   */
  openRun(isLastAttempt: boolean): RunListener;
  /** Whether the response head was sent to the caller. */
  hasBegun(): boolean;
  /** Status that was sent to the caller; undefined before. */
  getStatus(): number | undefined;
  /** Whether the bytes received so far end at an event boundary. */
  isAtEventEnd(): boolean;
  /** Id of the last complete event that was forwarded. */
  getLastId(): string | undefined;
  /** Ends a complete response. */
  finish(): void;
  /**
   * Closes the connection, so that the caller sees that the response is
   * incomplete.
   */
  abort(): void;
}

/** Hop-by-hop headers, which are not forwarded. */
export const CONNECTION_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'transfer-encoding',
  'te',
  'trailer',
  'upgrade',
]);

const OK = 200;

/** How the response of a route may be forwarded. */
export interface RelayTerms {
  /** Whether a success is a stream of events. */
  isStream: boolean;
  /** Whether another endpoint may go on with it; then only complete events are forwarded. */
  isResumable: boolean;
  /** Whether another endpoint may run the request. */
  mayRepeat: boolean;
}

/** `output` writes to `response`. */
export function createAnswerRelay(
  response: ServerResponse,
  output: AnswerOutput,
  {isStream, isResumable, mayRepeat}: RelayTerms,
): AnswerRelay {
  /** The splitter of the last run, if the stream can be resumed. */
  let splitter: EventSplitter | undefined;
  const endFinder = createEventEndFinder();
  let lastId: string | undefined;

  function writeHead(status: number, headers: IncomingHttpHeaders) {
    const forwarded = Object.entries(headers).filter(
      ([name, value]) => value !== undefined && isForwarded(name),
    );
    response.writeHead(status, Object.fromEntries(forwarded));
  }

  /**
   * A resumable stream has no known length: another endpoint may continue it.
   */
  function isForwarded(name: string): boolean {
    if (CONNECTION_HEADERS.has(name)) return false;
    return !(isResumable && name === 'content-length');
  }

  /**
   * Throws unless the first event of a run resumed after `after` is the next
   * one.
   */
  function checkResumed(run: EventSplitter, after: string | undefined) {
    const id = run.getFirstId();
    if (after === undefined || id === undefined) return;
    if (Number(id) === Number(after) + 1) return;
    throw new Error(`the stream goes on with event ${id} after ${after}`);
  }

  /** Forwards a stream that cannot be resumed as it is. */
  function forwardChunk(chunk: Buffer, resume: () => void): boolean {
    endFinder.push(chunk);
    return output.write(chunk, resume);
  }

  return {
    openRun(isLastAttempt) {
      const resumedAfter = lastId;
      const runSplitter = createEventSplitter();
      const checker = createEventChecker();
      return {
        onAnswer(status, headers) {
          if (status >= 500 && mayRepeat && !isLastAttempt) return 'discard';
          const {headersSent, statusCode} = response;
          if (headersSent && (status !== OK || statusCode !== OK)) {
            throw new Error(`${statusCode} was followed by ${status}`);
          }
          splitter = isResumable ? runSplitter : undefined;
          if (!response.headersSent) writeHead(status, headers);
          return 'take';
        },
        countEvents: isStream ? checker.countEvents : undefined,
        onData(chunk, resume) {
          if (isStream && response.statusCode === OK) checker.push(chunk);
          if (!isResumable) return forwardChunk(chunk, resume);
          const events = runSplitter.push(chunk);
          checkResumed(runSplitter, resumedAfter);
          const id = runSplitter.getLastId();
          const wantsMore = output.write(events, resume);
          lastId = id ?? lastId;
          return wantsMore;
        },
      };
    },
    hasBegun: () => response.headersSent,
    getStatus: () => (response.headersSent ? response.statusCode : undefined),
    isAtEventEnd: () =>
      splitter
        ? splitter.getPartialEvent().length === 0
        : endFinder.isAtEventEnd(),
    getLastId: () => lastId,
    finish() {
      const partial = splitter?.getPartialEvent();
      if (partial) output.write(partial, () => {});
      output.end();
    },
    abort: () => abortResponse(response),
  };
}
