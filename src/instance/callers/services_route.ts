/** Forwards calls to plain services. */
import type {ExecutionRequest} from '../execution/execution.js';
import type {KeyOwner} from '../keys/key_directory.js';
import {
  acquireToken,
  authenticateCaller,
  buildKeyCheck,
  parseDeadline,
  selectForwardedHeaders,
} from './admission.js';
import type {CallerDependencies} from './callers.js';
import {IDEMPOTENCY_HEADER} from './constants.js';
import {readBody, type HttpExchange} from './http_exchange.js';
import {parseServiceCall, type ServiceCall} from './service_calls.js';
import {runRecordedCall} from './recorded_call.js';
import {forwardAnswer} from './service_answer.js';

/** Runs one call to a plain service and forwards its response. */
export async function handleServiceCall(
  exchange: HttpExchange,
  dependencies: CallerDependencies,
): Promise<void> {
  const {keys, clock, configuration, limits, execution} = dependencies;
  const owner = authenticateCaller(exchange.request, keys, clock.now());
  const call = parseServiceCall(exchange, configuration, owner.account);
  const body = await readBody(
    exchange.request,
    call.service.document.service.max_body,
  );
  const deadline = parseDeadline(exchange.request, call.service, clock.now());
  await acquireToken(limits, call.service, owner);
  const request: ExecutionRequest = {
    ...buildRequest(exchange, dependencies, owner, call),
    body,
    deadline,
  };
  const key = exchange.request.headers[IDEMPOTENCY_HEADER];
  if (key !== undefined && !call.idempotent) {
    await runRecordedCall(exchange, dependencies, request, String(key));
    return;
  }
  await forwardAnswer(exchange, execution.run(request));
}

function buildRequest(
  exchange: HttpExchange,
  dependencies: CallerDependencies,
  owner: KeyOwner,
  call: ServiceCall,
): Omit<ExecutionRequest, 'body' | 'deadline'> {
  return {
    requestId: exchange.requestId,
    service: call.service,
    account: owner.account,
    workClass: 'online',
    method: call.method,
    path: call.target,
    headers: selectForwardedHeaders(exchange.request),
    model: '',
    promptTokens: 1,
    answerTokens: 1,
    prefixHashes: [],
    idempotent: call.idempotent,
    authorize: buildKeyCheck(dependencies, owner, call.service),
    signal: exchange.signal,
  };
}
