/** Converts failures of calls to endpoints to errors with a verdict. */
import {errors as undiciErrors} from 'undici';
import {RouterError} from '../../common/errors.js';

/** Converts a transport failure to the error that the caller sees. */
export function toEndpointError(error: unknown): RouterError {
  if (error instanceof RouterError) return error;
  const {code, name} = error as {code?: string; name?: string};
  return new RouterError(
    'endpoint_failed',
    `the endpoint failed: ${code ?? name ?? 'unknown'}`,
    {
      verdict: isProofOfNotSent(error) ? 'not-run' : 'may-have-run',
      cause: error,
    },
  );
}

/**
 * Whether a failure proves that no byte of the request was sent, which only a
 * failure to connect does. A reset of an open connection proves nothing, even
 * of an idle one: the peer may have read and run the request before it closed
 * the connection without a response. Some error codes occur both when
 * connecting and on open connections, such as that of an unreachable host, so
 * this checks which system call failed.
 */
function isProofOfNotSent(error: unknown): boolean {
  if (error instanceof undiciErrors.ConnectTimeoutError) return true;
  return (error as {syscall?: string}).syscall === 'connect';
}
