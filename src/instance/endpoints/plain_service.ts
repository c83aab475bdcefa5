/** Adapter for plain services, which forwards each request as one HTTP call. */
import {ANSWER_HEADERS, REQUEST_ID_HEADER} from './constants.js';
import type {
  EndpointAdapter,
  EndpointCall,
  EndpointEvent,
} from './endpoint_adapter.js';
import {cancelAnswer, checkAdmitted, checkRequestId} from './answer_checks.js';
import type {EndpointAnswer} from './endpoint_answer.js';
import type {EndpointClient} from './http_call.js';

/** Creates an adapter over the connections of `client`. */
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
  checkAnswer(call, answer);
  try {
    yield {
      kind: 'head',
      status: answer.status,
      headers: selectAnswerHeaders(answer),
    };
    let offset = 0;
    let payload = await answer.read();
    for (; payload; payload = await answer.read()) {
      yield {kind: 'data', offset: offset++, payload};
    }
    yield {kind: 'end'};
  } finally {
    answer.destroy();
  }
}

/** Checks a response; its request id must match, but services may omit it. */
function checkAnswer(call: EndpointCall, answer: EndpointAnswer) {
  const echoed = answer.headers[REQUEST_ID_HEADER];
  try {
    checkAdmitted(answer);
    if (echoed !== undefined) checkRequestId(call.requestId, echoed);
  } catch (error) {
    cancelAnswer(answer, error);
    throw error;
  }
}

function selectAnswerHeaders(answer: EndpointAnswer): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const name of ANSWER_HEADERS) {
    const value = answer.headers[name];
    if (value !== undefined) headers[name] = String(value);
  }
  return headers;
}
