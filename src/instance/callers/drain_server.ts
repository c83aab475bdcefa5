/** Graceful shutdown of an HTTP server. */
import type {Server} from 'node:http';
import {Server as NetServer} from 'node:net';
import {setImmediate as waitTurn} from 'node:timers/promises';
import {createTimeout, type Clock} from '../../common/clock.js';
import {ABORTED_RESPONSES_MS, ACCEPT_TIMEOUT_MS} from './constants.js';
import type {Exchanges} from './exchanges.js';

/**
 * Accepts no new connections and resolves when all responses have ended; those
 * still open after `timeoutMs` end with an error, and a little later with their connection.
 */
export async function drainServer(
  server: Server,
  exchanges: Exchanges,
  clock: Clock,
  timeoutMs: number,
) {
  exchanges.startDraining();
  await readArrived(server, clock);
  const closed = stopListening(server);
  exchanges.runWhenSent(() => server.closeIdleConnections());
  const cancelAbort = clock.schedule(timeoutMs, () => exchanges.abortAll());
  const timeout = createTimeout(clock, timeoutMs + ABORTED_RESPONSES_MS);
  await Promise.race([exchanges.awaitIdle(), timeout.expired]);
  cancelAbort();
  timeout.cancel();
  exchanges.stop();
  // Those of handlers that did not end in time, and idle ones, are left now.
  server.closeAllConnections();
  await closed;
}

/**
 * Accepts the connections that wait for the process, and reads their requests. A process
 * that is busy accepts one in each turn of its event loop, and would reset the others
 * with its listener, although their callers sent their requests long before.
 */
async function readArrived(server: Server, clock: Clock) {
  const endsAt = clock.now() + ACCEPT_TIMEOUT_MS;
  let hasAccepted: boolean;
  const noteAccepted = () => {
    hasAccepted = true;
  };
  server.on('connection', noteAccepted);
  do {
    hasAccepted = false;
    // The request of an accepted connection is read in the next turn.
    await waitTurn();
    await waitTurn();
  } while (hasAccepted && clock.now() < endsAt);
  server.off('connection', noteAccepted);
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
