/** Starts servers; errors name the address. */
import type {Server} from 'node:net';
import type {AddressInfo} from 'node:net';

/** An address that could not be listened on. */
export class ListenError extends Error {
  constructor(clients: string, address: string, cause: NodeJS.ErrnoException) {
    super(`cannot listen for ${clients} on ${address}: ${cause.code}`, {cause});
    this.name = 'ListenError';
  }
}

/**
 * Starts to listen and resolves with the bound address as `host:port`; port 0
 * selects a free port.
 * `clients` names those that will connect, for the error message.
 */
export function listenServer(
  server: Pick<Server, 'listen' | 'once' | 'off' | 'address'>,
  clients: string,
  host: string,
  port: number,
): Promise<string> {
  return new Promise((resolve, reject) => {
    function fail(error: NodeJS.ErrnoException) {
      reject(new ListenError(clients, `${host}:${port}`, error));
    }
    server.once('error', fail);
    server.listen(port, host, () => {
      server.off('error', fail);
      resolve(`${host}:${(server.address() as AddressInfo).port}`);
    });
  });
}
