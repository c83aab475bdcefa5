/** Decodes the event stream of a model engine's answer. */
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {RouterError} from '../../common/errors.js';
import {END_MARK, MAX_EVENT_BYTES} from './constants.js';
import type {EndpointEvent} from './endpoint_adapter.js';
import {checkRequestId} from './answer_checks.js';

/** An error event's text is told to the caller up to this length. */
const MAX_ERROR_TEXT = 200;

/** Turns the bytes of one answer into its events. */
export interface EventDecoder {
  /**
   * The events that these bytes complete, up to one that was skipped, is
   * malformed or is of another request: each names its request.
   */
  decode(bytes: Buffer): EndpointEvent[];
  /** What is wrong after the decoded events; nothing more is decoded then. */
  getFailure(): RouterError | undefined;
}

/** `offset` is that of the answer's first event. */
export function createEventDecoder(
  requestId: string,
  offset: number,
): EventDecoder {
  let events: EndpointEvent[] = [];
  let next = offset;
  let failure: RouterError | undefined;

  function handleEvent(event: EventSourceMessage) {
    if (failure) return;
    try {
      if (event.data === END_MARK) events.push({kind: 'end'});
      else events.push(toDataEvent(event, requestId, next++));
    } catch (error) {
      failure = error as RouterError;
    }
  }

  const parser = createParser({
    onEvent: handleEvent,
    onError: checkParserError,
    maxBufferSize: MAX_EVENT_BYTES,
  });
  const decoder = new TextDecoder();
  return {
    decode(bytes) {
      parser.feed(decoder.decode(bytes, {stream: true}));
      const decoded = events;
      events = [];
      return decoded;
    },
    getFailure: () => failure,
  };
}

/** Unknown fields are ignored, as the format's standard asks. */
function checkParserError({type}: {type: string}) {
  if (type !== 'max-buffer-size-exceeded') return;
  throw failStream(`an event is larger than ${MAX_EVENT_BYTES} bytes`);
}

function toDataEvent(
  {event, id, data}: EventSourceMessage,
  requestId: string,
  expected: number,
): EndpointEvent {
  if (event === 'error') {
    throw failStream(`the engine failed: ${data.slice(0, MAX_ERROR_TEXT)}`);
  }
  if (!data.startsWith('{') || !data.endsWith('}')) {
    throw failStream('the engine sent a malformed event');
  }
  if (Number(id) !== expected) {
    throw failStream(`event ${expected} of the answer is missing`);
  }
  // A stream may be crossed after its head: the engine's connection then
  // carries chunks of another caller's answer, each with that one's id.
  checkRequestId(requestId, data.includes(requestId) ? requestId : undefined);
  return {kind: 'data', offset: expected, payload: Buffer.from(data)};
}

/** The stream cannot go on; what ran meanwhile is not known. */
export function failStream(message: string): RouterError {
  return new RouterError('endpoint_failed', message, {verdict: 'may-have-run'});
}
