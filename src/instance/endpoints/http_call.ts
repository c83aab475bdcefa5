/** Sends calls to endpoints over HTTP. */
import {request as sendRequest} from 'undici';
import type {Dispatcher} from 'undici';
import {RouterError} from '../../common/errors.js';
import type {Metrics} from '../../common/metrics.js';
import {checkStatus} from './answer_checks.js';
import {createEndpointConnections} from './connections.js';
import {REQUEST_ID_HEADER} from './constants.js';
import type {EndpointCall} from './endpoint_adapter.js';
import {buildAnswer, type EndpointAnswer} from './endpoint_answer.js';
import {toEndpointError} from './endpoint_failure.js';
import {createSilenceGuard, type SilenceGuard} from './silence_guard.js';

/** HTTP client for endpoints. */
export interface EndpointClient {
  /** Throws RouterError. Every response must be read, finished or destroyed. */
  send(call: EndpointCall): Promise<EndpointAnswer>;
  /** Connections and running calls by endpoint address. */
  describeState(): object;
  close(): Promise<void>;
}

/** Creates a client that reuses connections and destroys silent ones. */
export function createEndpointClient(metrics?: Metrics): EndpointClient {
  const connections = createEndpointConnections();
  const failures = metrics?.createCounter(
    'endpoint_failures_total',
    'Calls to endpoints that gave no answer, by error code and verdict.',
    ['code', 'verdict'],
  );

  async function sendGuarded(
    call: EndpointCall,
    guard: SilenceGuard,
  ): Promise<EndpointAnswer> {
    const {limits} = call;
    guard.start(limits.first_byte_timeout);
    const answer = await sendRequest(
      `http://${call.endpoint.address}${call.path}`,
      {
        dispatcher: call.freshConnection
          ? connections.getFresh(limits)
          : connections.getKeepAlive(limits),
        method: call.method as Dispatcher.HttpMethod,
        headers: {...call.headers, [REQUEST_ID_HEADER]: call.requestId},
        body: call.body.length > 0 ? call.body : undefined,
        headersTimeout: 0,
        bodyTimeout: 0,
        signal: guard.signal,
      },
    );
    guard.stop();
    const built = buildAnswer(answer, guard, limits);
    checkStatus(built);
    return built;
  }

  return {
    async send(call) {
      const guard = createSilenceGuard(call.signal);
      try {
        checkNotAborted(call.signal);
        return await sendGuarded(call, guard);
      } catch (thrown) {
        guard.close();
        const error = toEndpointError(thrown);
        failures?.inc({code: error.code, verdict: error.verdict});
        throw error;
      }
    },
    describeState: () => connections.describeState(),
    close: () => connections.close(),
  };
}

function checkNotAborted(signal: AbortSignal) {
  if (!signal.aborted) return;
  throw new RouterError('cancelled', 'the request was cancelled', {
    verdict: 'not-run',
    cause: signal.reason,
  });
}
