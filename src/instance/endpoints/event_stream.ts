/** Reads the event stream of a model engine's answer. */
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {RouterError} from '../../common/errors.js';
import {END_MARK, MAX_EVENT_BYTES} from './constants.js';
import type {EndpointEvent} from './endpoint_adapter.js';
import {checkRequestId, type EndpointAnswer} from './http_call.js';

/** An error event's text is told to the caller up to this length. */
const MAX_ERROR_TEXT = 200;

/**
 * The data events from `offset` on, then the end. Throws RouterError when the
 * stream breaks off, skips an event, is malformed, or holds an event of
 * another request: each names its request.
 */
export async function* readEventStream(
  answer: EndpointAnswer,
  requestId: string,
  offset: number,
): AsyncGenerator<EndpointEvent> {
  const received: EventSourceMessage[] = [];
  const parser = createParser({
    onEvent: event => received.push(event),
    onError: checkParserError,
    maxBufferSize: MAX_EVENT_BYTES,
  });
  const decoder = new TextDecoder();
  let next = offset;
  for await (const bytes of answer.read()) {
    parser.feed(decoder.decode(bytes, {stream: true}));
    for (const event of received.splice(0)) {
      if (event.data === END_MARK) {
        answer.finish();
        yield {kind: 'end'};
        return;
      }
      yield toDataEvent(event, requestId, next++);
    }
  }
  throw failStream('the answer broke off');
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

function failStream(message: string): RouterError {
  return new RouterError('endpoint_failed', message, {verdict: 'may-have-run'});
}
