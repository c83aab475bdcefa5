/**
 * Runs a non-idempotent call with an Idempotency-Key: at most once in the
 * fleet, with its outcome recorded for resends.
 */
import {
  ERROR_KINDS,
  RouterError,
  toRouterError,
  type ErrorCode,
} from '../../common/errors.js';
import {hashText} from '../../common/ids.js';
import type {ExecutionRequest} from '../execution/execution.js';
import type {LinkedSignal} from '../execution/linked_signal.js';
import {createAnswerRecorder} from './answer_recorder.js';
import {writeBody} from './answer_writer.js';
import type {CallerDependencies} from './callers.js';
import {REPLAYED_HEADER} from './constants.js';
import type {HttpExchange} from './http_exchange.js';
import type {RecordedEnd} from './intents.js';
import {forwardAnswer, writeServiceHead} from './service_answer.js';

const KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;

/** Runs the call, or responds with its recorded outcome. */
export async function runRecordedCall(
  exchange: HttpExchange,
  {intents, execution, clock}: CallerDependencies,
  request: ExecutionRequest,
  key: string,
): Promise<void> {
  checkKey(key);
  const call = {
    account: request.account,
    service: request.service.document.service.name,
    key,
    fingerprint: hashCall(request),
    remainingMs: request.deadline - clock.now(),
  };
  const started = await intents.start(call, clock.wallNow());
  if (started.kind === 'recorded') {
    await respondRecorded(exchange, started.end);
    return;
  }
  const {signal, close} = followDrain(exchange.signal);
  const recorder = createAnswerRecorder();
  try {
    await forwardAnswer(
      exchange,
      recorder.record(execution.run({...request, signal}), started.finish),
    );
  } catch (thrown) {
    const error = toRouterError(thrown, 'may-have-run');
    if (!recorder.hasEnded()) await started.finish(buildFailedEnd(error));
    throw error;
  } finally {
    close();
  }
}

/**
 * Creates a signal that aborts at the drain timeout only. The call continues after the
 * caller disconnects: it cannot be undone, and a resend will need its response.
 */
function followDrain(exchange: AbortSignal): LinkedSignal {
  const controller = new AbortController();
  function forward() {
    const {reason} = exchange;
    if (reason instanceof RouterError) controller.abort(reason);
  }
  if (exchange.aborted) forward();
  exchange.addEventListener('abort', forward);
  return {
    signal: controller.signal,
    close: () => exchange.removeEventListener('abort', forward),
  };
}

function checkKey(key: string) {
  if (KEY_PATTERN.test(key)) return;
  throw new RouterError(
    'invalid_request',
    'idempotency-key must be 1 to 255 printable characters',
    {verdict: 'not-run', field: 'idempotency-key'},
  );
}

function hashCall({method, path, body}: ExecutionRequest): string {
  return hashText(`${method}\n${path}\n${hashText(body)}`);
}

function buildFailedEnd({code, message, verdict}: RouterError): RecordedEnd {
  return {kind: 'failed', code, message, verdict};
}

async function respondRecorded(exchange: HttpExchange, end: RecordedEnd) {
  exchange.response.setHeader(REPLAYED_HEADER, 'true');
  if (end.kind === 'failed') {
    const code = end.code in ERROR_KINDS ? (end.code as ErrorCode) : 'internal';
    throw new RouterError(code, end.message, {verdict: end.verdict});
  }
  if (end.body === undefined) {
    throw new RouterError(
      'answer_not_kept',
      `the call ran with status ${end.status}; its answer was too large to keep`,
      {verdict: 'ran'},
    );
  }
  writeServiceHead(exchange, end);
  await writeBody(exchange.response, Buffer.from(end.body, 'base64'));
}
