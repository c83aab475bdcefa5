/**
 * Adapter for model engines. Their streams have the OpenAI format, and each
 * event carries its offset as `id`, so that a broken stream can resume where it
 * stopped.
 */
import {RouterError} from '../../common/errors.js';
import {
  MAX_ERROR_BODY_BYTES,
  REQUEST_ID_HEADER,
  RESUME_OFFSET_HEADER,
} from './constants.js';
import type {
  EndpointAdapter,
  EndpointCall,
  EndpointEvent,
} from './endpoint_adapter.js';
import {createEngineControl} from './engine_control.js';
import {createEventDecoder, failStream} from './event_stream.js';
import {cancelAnswer, checkAdmitted, checkRequestId} from './answer_checks.js';
import {readBounded, type EndpointAnswer} from './endpoint_answer.js';
import type {EndpointClient} from './http_call.js';

/** Creates an adapter over the connections of `client`. */
export function createModelEngineAdapter(
  client: EndpointClient,
): EndpointAdapter {
  return {
    canResume: true,
    send: call => streamEvents(client, call),
    cancel: call => cancelStream(client, call),
    control: createEngineControl(client),
  };
}

async function* streamEvents(
  client: EndpointClient,
  call: EndpointCall,
): AsyncGenerator<EndpointEvent> {
  const answer = await client.send({...call, headers: buildHeaders(call)});
  try {
    checkAdmitted(answer);
    checkStatus(answer);
    checkRequestId(call.requestId, answer.headers[REQUEST_ID_HEADER]);
  } catch (error) {
    cancelAnswer(answer, error);
    throw error;
  }
  if (answer.status !== 200) {
    yield* readRefusal(answer);
    return;
  }
  const resumedAt = findResumeOffset(call, answer);
  const decoder = createEventDecoder(call.requestId, resumedAt ?? 0);
  try {
    yield {kind: 'head', status: 200, headers: {}, resumedAt};
    let bytes = await answer.read();
    for (; bytes; bytes = await answer.read()) {
      for (const event of decoder.decode(bytes)) {
        if (event.kind === 'end') answer.finish();
        yield event;
        if (event.kind === 'end') return;
      }
      const failure = decoder.getFailure();
      if (failure) throw failure;
    }
    throw failStream('the answer broke off');
  } finally {
    answer.destroy();
  }
}

function buildHeaders(call: EndpointCall): Record<string, string> {
  if (call.offset === 0) return call.headers;
  return {...call.headers, [RESUME_OFFSET_HEADER]: String(call.offset)};
}

/** Returns the call's offset if the engine resumes there, else undefined. */
function findResumeOffset(
  call: EndpointCall,
  answer: EndpointAnswer,
): number | undefined {
  const echoed = answer.headers[RESUME_OFFSET_HEADER];
  const resumed = call.offset > 0 && echoed === String(call.offset);
  return resumed ? call.offset : undefined;
}

/**
 * Throws for a status that is the engine's own failure, which is 5xx or 429.
 * Any other 4xx concerns the request itself, and other engines would return it
 * too.
 */
function checkStatus({status}: EndpointAnswer) {
  if (status === 200) return;
  if (status >= 400 && status < 500 && status !== 429) return;
  throw new RouterError(
    'endpoint_failed',
    `the engine answered with status ${status}`,
    {verdict: 'may-have-run'},
  );
}

async function* readRefusal(
  answer: EndpointAnswer,
): AsyncGenerator<EndpointEvent> {
  yield {kind: 'head', status: answer.status, headers: {}};
  const payload = await readBounded(answer, MAX_ERROR_BODY_BYTES);
  yield {kind: 'data', offset: 0, payload};
  yield {kind: 'end'};
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
    answer.finish();
  } catch {
    // Nothing depends on the cancellation: the engine also stops by itself,
    // some time after its connection was closed.
  }
}
