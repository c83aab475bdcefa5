/** Checks whether the process of an endpoint has ended. */
import {connect} from 'node:net';
import {isConnectionRefused} from '../endpoints/connection_loss.js';
import {CONNECT_TIMEOUT_MS} from '../gateway/constants.js';

/**
 * Resolves to true only when the endpoint's host refuses the connection,
 * because nothing listens on the port. A lost packet, a cut link or an
 * unreachable host says nothing about the process.
 */
export function checkEnded(address: string): Promise<boolean> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const socket = connect({host, port: Number(port)});
    const settle = (isEnded: boolean) => {
      socket.destroy();
      resolve(isEnded);
    };
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => settle(false));
    socket.once('connect', () => settle(false));
    socket.once('error', error => settle(isConnectionRefused(error)));
  });
}
