/** The end of a listener without cutting off an answer. */
import type {Server} from 'node:http';
import type {Clock} from '../../common/clock.js';
import type {Exchanges} from './exchanges.js';

/**
 * Takes no new connections and resolves when all answers have ended; those
 * still open after `boundMs` end with an error.
 */
export async function drainServer(
  server: Server,
  exchanges: Exchanges,
  clock: Clock,
  boundMs: number,
) {
  exchanges.startDraining();
  const closed = new Promise<void>(resolve => server.close(() => resolve()));
  server.closeIdleConnections();
  const cancelBound = clock.schedule(boundMs, () => exchanges.endAll());
  await exchanges.awaitNone();
  cancelBound();
  exchanges.stop();
  // Nothing is open now but connections that wait for a next request.
  server.closeAllConnections();
  await closed;
}
