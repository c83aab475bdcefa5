/** Graceful shutdown of an HTTP server. */
import type {Server} from 'node:http';
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
  const closed = new Promise<void>(resolve => server.close(() => resolve()));
  server.closeIdleConnections();
  const cancelTimer = clock.schedule(timeoutMs, () => exchanges.abortAll());
  await exchanges.awaitIdle();
  cancelTimer();
  exchanges.stop();
  // Only idle keep-alive connections are left now.
  server.closeAllConnections();
  await closed;
}
