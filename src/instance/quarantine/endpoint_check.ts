/** Whether an endpoint has ended, asked of its machine. */
import {connect} from 'node:net';
import {CONNECT_TIMEOUT_MS} from '../gateway/constants.js';

const REFUSED_CODE = 'ECONNREFUSED';

/**
 * True only where its machine says that nobody listens there. A lost packet, a
 * cut link or a machine that is gone says nothing of the process.
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
    socket.once('error', (error: NodeJS.ErrnoException) =>
      settle(error.code === REFUSED_CODE),
    );
  });
}
