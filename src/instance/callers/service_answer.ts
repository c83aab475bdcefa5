/** Writes the responses of plain services. */
import type {EndpointEvent} from '../endpoints/endpoint_adapter.js';
import {createAnswerWriter} from './answer_writer.js';
import {REQUEST_ID_HEADER, VERDICT_HEADER} from './constants.js';
import {abortResponse, type HttpExchange} from './http_exchange.js';

/** Forwards a response as it arrives. */
export async function forwardAnswer(
  exchange: HttpExchange,
  events: AsyncIterable<EndpointEvent>,
): Promise<void> {
  const {response} = exchange;
  const writer = createAnswerWriter(response);
  try {
    for await (const event of events) {
      if (event.kind === 'head') writeServiceHead(exchange, event);
      if (event.kind === 'data') await writer.write(event.payload);
    }
  } catch (thrown) {
    if (response.headersSent) abortResponse(response);
    throw thrown;
  }
  response.end();
}

/**
 * Writes the head of a service's response, with the verdict on a failed call.
 */
export function writeServiceHead(
  {response, requestId}: HttpExchange,
  {status, headers}: {status: number; headers: Record<string, string>},
): void {
  response.writeHead(status, {
    ...headers,
    [REQUEST_ID_HEADER]: requestId,
    ...(status >= 400 ? {[VERDICT_HEADER]: 'ran'} : {}),
  });
}
