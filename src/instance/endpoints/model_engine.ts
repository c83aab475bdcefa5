/**
 * Adapter for model engines: OpenAI-shaped streams whose events carry their
 * offset as `id`, so that a broken stream resumes where it stopped.
 */
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import {RouterError} from '../../common/errors.js';
import type {
  EndpointAdapter,
  EndpointCall,
  EndpointEvent,
} from './endpoint_adapter.js';
import {toEndpointError, type EndpointClient} from './http_call.js';

const END_MARK = '[DONE]';

/** `client` holds the connections. */
export function createModelEngineAdapter(
  client: EndpointClient,
): EndpointAdapter {
  return {
    canResume: true,
    send: call => streamEvents(client, call),
    cancel: call => cancelStream(client, call),
  };
}

async function* streamEvents(
  client: EndpointClient,
  call: EndpointCall,
): AsyncGenerator<EndpointEvent> {
  const answer = await client.send({
    ...call,
    headers: {...call.headers, 'x-resume-offset': String(call.offset)},
  });
  checkRequestId(call, answer.headers['x-request-id']);
  yield {kind: 'head', status: answer.statusCode, headers: {}};
  if (answer.statusCode !== 200) {
    const payload = Buffer.from(await answer.body.arrayBuffer());
    yield {kind: 'data', offset: 0, payload};
    yield {kind: 'end'};
    return;
  }
  yield* parseStream(answer.body);
}

/** An answer to somebody else's request must reach nobody. */
function checkRequestId(call: EndpointCall, echoed: unknown) {
  if (echoed === call.requestId) return;
  throw new RouterError('answer_mismatch', 'the endpoint mixed up answers', {
    verdict: 'may-have-run',
  });
}

async function* parseStream(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<EndpointEvent> {
  const received: EventSourceMessage[] = [];
  const parser = createParser({onEvent: event => received.push(event)});
  const decoder = new TextDecoder();
  try {
    for await (const bytes of body) {
      parser.feed(decoder.decode(bytes, {stream: true}));
      for (const event of received.splice(0)) {
        if (event.data === END_MARK) {
          yield {kind: 'end'};
          return;
        }
        const payload = Buffer.from(event.data);
        yield {kind: 'data', offset: Number(event.id), payload};
      }
    }
  } catch (error) {
    throw toEndpointError(error);
  }
  throw new RouterError('endpoint_failed', 'the answer broke off', {
    verdict: 'may-have-run',
  });
}

async function cancelStream(client: EndpointClient, call: EndpointCall) {
  try {
    const answer = await client.send({
      ...call,
      method: 'DELETE',
      path: `/v1/streams/${call.requestId}`,
      body: new Uint8Array(),
      signal: AbortSignal.timeout(call.limits.connect_timeout),
    });
    await answer.body.dump();
  } catch {
    // The engine also stops when its connection closes; nothing depends on it.
  }
}
