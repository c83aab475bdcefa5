/** Graceful shutdown of an HTTP server. */
import type {Server} from 'node:http';
import {Server as NetServer} from 'node:net';
import type {Clock} from '../../common/clock.js';
import type {Exchanges} from './exchanges.js';

/**
 * Accepts no new connections and resolves when all responses have ended; those
 * still open after `timeoutMs` end with an error.
 */
export async function drainServer(
  server: Server,
  exchanges: Exchanges,
  clock: Clock,
  timeoutMs: number,
) {
  exchanges.startDraining();
  const closed = stopListening(server);
  exchanges.runWhenSent(() => server.closeIdleConnections());
  const cancelTimer = clock.schedule(timeoutMs, () => exchanges.abortAll());
  await exchanges.awaitIdle();
  cancelTimer();
  exchanges.stop();
  // Only idle keep-alive connections are left now.
  server.closeAllConnections();
  await closed;
}

/**
 * Accepts no new connections; resolves when all are closed. Node.js counts a connection
 * as idle once its response has ended, even if the caller has not read all of it, and
 * `Server.close` of HTTP closes idle connections. The response would be cut off.
 */
function stopListening(server: Server): Promise<void> {
  return new Promise(resolve => {
    NetServer.prototype.close.call(server, () => resolve());
  });
}
