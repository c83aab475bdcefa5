/** Listening on an address, with an error that names it. */
import type {Server} from 'node:net';
import type {AddressInfo} from 'node:net';

/** An address that could not be listened on. */
export class ListenError extends Error {
  constructor(what: string, address: string, cause: NodeJS.ErrnoException) {
    super(`cannot listen for ${what} on ${address}: ${cause.code}`, {cause});
    this.name = 'ListenError';
  }
}

/**
 * Resolves with the bound address as `host:port`; port 0 takes a free one.
 * `what` names who will connect, for the error.
 */
export function listenServer(
  server: Pick<Server, 'listen' | 'once' | 'off' | 'address'>,
  what: string,
  host: string,
  port: number,
): Promise<string> {
  return new Promise((resolve, reject) => {
    function fail(error: NodeJS.ErrnoException) {
      reject(new ListenError(what, `${host}:${port}`, error));
    }
    server.once('error', fail);
    server.listen(port, host, () => {
      server.off('error', fail);
      resolve(`${host}:${(server.address() as AddressInfo).port}`);
    });
  });
}
