/**
 * Passes an endpoint's answer on to its caller unchanged, over one run or, for
 * a stream that may be taken up elsewhere, over several.
 */
import type {IncomingHttpHeaders, ServerResponse} from 'node:http';
import {createEventSplitter, type EventSplitter} from './event_splitter.js';
import type {RunListener} from './slot_run.js';

/** The way to one caller. */
export interface AnswerRelay {
  /** A listener for the next run. `isLast`: no other endpoint may run it. */
  openRun(isLast: boolean): RunListener;
  /** Whether the caller has the head of an answer. */
  hasBegun(): boolean;
  /** Whether the answer, as far as it came, stops between two events. */
  isAtEventEnd(): boolean;
  /** Id of the last whole event that was passed on. */
  getLastId(): string | undefined;
  /** The answer is whole. */
  finish(): void;
  /** The answer cannot be made whole: the caller must see that. */
  breakOff(): void;
}

/** Headers that concern one connection only. */
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

/** `isResumable`: only whole events are passed on. */
export function createAnswerRelay(
  response: ServerResponse,
  {isResumable, mayRepeat}: {isResumable: boolean; mayRepeat: boolean},
): AnswerRelay {
  let splitter: EventSplitter | undefined;
  let lastId: string | undefined;

  function writeHead(status: number, headers: IncomingHttpHeaders) {
    const kept = Object.entries(headers).filter(
      ([name, value]) => value !== undefined && isPassedOn(name),
    );
    response.writeHead(status, Object.fromEntries(kept));
  }

  /** What another endpoint adds changes the length of a resumable stream. */
  function isPassedOn(name: string): boolean {
    if (CONNECTION_HEADERS.has(name)) return false;
    return !(isResumable && name === 'content-length');
  }

  /** The first event of a run that goes on after `after` must be the next. */
  function checkResumed(run: EventSplitter, after: string | undefined) {
    const id = run.getFirstId();
    if (after === undefined || id === undefined) return;
    if (Number(id) === Number(after) + 1) return;
    throw new Error(`the stream goes on with event ${id} after ${after}`);
  }

  function writeChunk(chunk: Buffer, resume: () => void): boolean {
    if (chunk.length === 0 || response.write(chunk)) return true;
    response.once('drain', resume);
    return false;
  }

  return {
    openRun(isLast) {
      const after = lastId;
      let own: EventSplitter;
      return {
        onAnswer(status, headers) {
          if (status >= 500 && mayRepeat && !isLast) return 'discard';
          if (response.headersSent && status !== 200) {
            throw new Error(`resuming was answered with ${status}`);
          }
          own = createEventSplitter();
          splitter = own;
          if (!response.headersSent) writeHead(status, headers);
          return 'take';
        },
        onData(chunk, resume) {
          const events = own.push(chunk);
          if (!isResumable) return writeChunk(chunk, resume);
          checkResumed(own, after);
          const id = own.getLastId();
          const more = writeChunk(events, resume);
          lastId = id ?? lastId;
          return more;
        },
      };
    },
    hasBegun: () => response.headersSent,
    isAtEventEnd: () => (splitter?.getRest().length ?? 0) === 0,
    getLastId: () => lastId,
    finish() {
      const rest = splitter?.getRest();
      if (isResumable && rest && rest.length > 0) response.write(rest);
      response.end();
    },
    breakOff: () => void response.destroy(),
  };
}
