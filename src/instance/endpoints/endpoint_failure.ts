/** How calls to endpoints fail, and what that says of the request. */
import {errors as undiciErrors} from 'undici';
import {RouterError} from '../../common/errors.js';

/** A transport failure as the caller will see it. */
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
 * Whether a failure proves that no byte of the request left: only a failure
 * to connect does. A reset of a connection that was already open proves
 * nothing, even an idle one: the peer may have read the request before it
 * closed, and then its effect is there although no answer came. The same codes
 * appear on open connections too (an unreachable host is reported on either),
 * so the failed system call is looked at and not the code alone.
 */
function isProofOfNotSent(error: unknown): boolean {
  if (error instanceof undiciErrors.ConnectTimeoutError) return true;
  return (error as {syscall?: string}).syscall === 'connect';
}
