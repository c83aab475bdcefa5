/** One HTTP call to an endpoint, with verdicts on how it failed. */
import {Agent, errors as undiciErrors, request as sendRequest} from 'undici';
import type {Dispatcher} from 'undici';
import {RouterError} from '../../common/errors.js';
import type {Verdict} from '../../common/verdict.js';
import type {EndpointCall} from './endpoint_adapter.js';

/** Errors raised before any byte of the request was written to a socket. */
const NEVER_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** The connections to endpoints. */
export interface EndpointClient {
  /** The head of the answer and its body; throws RouterError. */
  send(call: EndpointCall): Promise<Dispatcher.ResponseData>;
  close(): Promise<void>;
}

/** Keeps connections open between calls; a silent one is destroyed. */
export function createEndpointClient(): EndpointClient {
  const agent = new Agent({pipelining: 1, connections: null});

  return {
    async send(call) {
      try {
        return await sendRequest(
          `http://${call.endpoint.address}${call.path}`,
          {
            dispatcher: agent,
            method: call.method as Dispatcher.HttpMethod,
            headers: {...call.headers, 'x-request-id': call.requestId},
            body: call.body.length > 0 ? Buffer.from(call.body) : undefined,
            headersTimeout: call.limits.first_byte_timeout,
            bodyTimeout: call.limits.between_bytes_timeout,
            signal: call.signal,
          },
        );
      } catch (error) {
        throw toEndpointError(error);
      }
    },
    close: () => agent.destroy(),
  };
}

/** A transport failure as the caller will see it. */
export function toEndpointError(error: unknown): RouterError {
  if (error instanceof RouterError) return error;
  const code = (error as {code?: string}).code ?? '';
  const neverSent = NEVER_SENT_CODES.has(code);
  const verdict: Verdict = neverSent ? 'not-run' : 'may-have-run';
  const silent =
    error instanceof undiciErrors.HeadersTimeoutError ||
    error instanceof undiciErrors.BodyTimeoutError;
  return new RouterError(
    silent ? 'endpoint_silent' : 'endpoint_failed',
    silent ? 'the endpoint went silent' : `the endpoint failed: ${code}`,
    {verdict, cause: error},
  );
}
