/** Adapter for plain services: one HTTP call, passed through as it is. */
import type {
  EndpointAdapter,
  EndpointCall,
  EndpointEvent,
} from './endpoint_adapter.js';
import {toEndpointError, type EndpointClient} from './http_call.js';

/** `client` holds the connections. */
export function createPlainServiceAdapter(
  client: EndpointClient,
): EndpointAdapter {
  return {
    canResume: false,
    send: call => forwardAnswer(client, call),
    cancel: async () => {},
  };
}

async function* forwardAnswer(
  client: EndpointClient,
  call: EndpointCall,
): AsyncGenerator<EndpointEvent> {
  const answer = await client.send(call);
  const contentType = String(answer.headers['content-type'] ?? 'text/plain');
  yield {
    kind: 'head',
    status: answer.statusCode,
    headers: {'content-type': contentType},
  };
  let offset = 0;
  try {
    for await (const payload of answer.body) {
      yield {kind: 'data', offset: offset++, payload};
    }
  } catch (error) {
    throw toEndpointError(error);
  }
  yield {kind: 'end'};
}
