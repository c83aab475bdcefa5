/** Decodes the event stream of a model engine's response. */
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {RouterError} from '../../common/errors.js';
import {END_MARK, MAX_EVENT_BYTES} from './constants.js';
import type {EndpointEvent} from './endpoint_adapter.js';
import {checkRequestId} from './answer_checks.js';

/** Length to which the text of an error event is truncated for the caller. */
const MAX_ERROR_TEXT = 200;

/** Decodes the bytes of one response into events. */
export interface EventDecoder {
  /**
   * Returns the events that these bytes complete. It stops before an event that
   * is malformed, has another offset than the next one, or lacks the request's
   * id and so belongs to another request.
   */
  decode(bytes: Buffer): EndpointEvent[];
  /** Returns the failure that follows the decoded events and ends decoding. */
  getFailure(): RouterError | undefined;
}

/** Creates a decoder; `offset` is that of the response's first event. */
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

/** Ignores unknown fields, as the format's standard requires. */
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
  // An engine may mix up streams after the head. The connection then carries
  // chunks of another caller's response, each with the id of that request.
  checkRequestId(requestId, data.includes(requestId) ? requestId : undefined);
  return {kind: 'data', offset: expected, payload: Buffer.from(data)};
}

/** Builds the error (may-have-run) of a stream that cannot continue. */
export function failStream(message: string): RouterError {
  return new RouterError('endpoint_failed', message, {verdict: 'may-have-run'});
}
