/** Calls to other instances, over one connection per peer. */
import {createTRPCClient, createWSClient, wsLink} from '@trpc/client';
import type {TRPCClient} from '@trpc/client';
import type {AnyRouter} from '@trpc/server';
import {createSystemClock, type Clock} from '../../common/clock.js';
import type {StateSource} from '../../common/state_dump.js';
import type {SelfDescription} from '../members/members.js';
import {createCallBounds} from './call_bounds.js';
import {
  IDLE_CLOSE_MS,
  MAX_RECONNECT_DELAY_MS,
  PING_INTERVAL_MS,
  PONG_TIMEOUT_MS,
} from './constants.js';
import type {PeerKeys} from './peer_keys.js';
import type {PeerRouter} from './peer_router.js';
import {createPeerSocketClass} from './peer_socket.js';

/** Typed client of one peer. Every call ends within its timeout. */
export type PeerClient = TRPCClient<PeerRouter>;

/** The clients of all peers that this instance calls. */
export interface PeerClients<Router extends AnyRouter = PeerRouter> {
  /** Connects on first use. The client reconnects by itself. */
  get(address: string): TRPCClient<Router>;
  /** Closes the connection to a peer that has left. */
  remove(address: string): void;
  close(): void;
}

interface Connection<Router extends AnyRouter> {
  client: TRPCClient<Router>;
  isOpen(): boolean;
  close(): void;
}

/** `self` is sent to each peer when a connection opens. */
export function createPeerClients<Router extends AnyRouter = PeerRouter>(
  self: SelfDescription,
  keys: PeerKeys,
  clock: Clock = createSystemClock(),
): PeerClients<Router> & StateSource {
  const connections = new Map<string, Connection<Router>>();
  let replaced = 0;

  /**
   * Replaces a connection that is open but silent. If a device on the network
   * path has lost the connection's state, it stays open and silent, while new
   * connections work. So if nothing was received since a call was sent, and
   * that call timed out, the next call uses a new connection.
   */
  function replaceIfSilent(
    address: string,
    sentAt: number,
    lastReceivedAt: number,
  ) {
    if (lastReceivedAt >= sentAt) return;
    replaced++;
    remove(address);
  }

  function openConnection(address: string): Connection<Router> {
    let lastReceivedAt = -Infinity;
    let keyIndex = 0;
    let open = false;
    const socketClass = createPeerSocketClass(self, {
      chooseKey: () => keys[keyIndex % keys.length],
      onOpen() {
        open = true;
        lastReceivedAt = clock.now();
      },
      onMessage() {
        lastReceivedAt = clock.now();
      },
      onClose(isRejected) {
        open = false;
        // During a key rotation the peer may know only the previous key.
        if (isRejected) keyIndex++;
      },
    });
    const socket = createWSClient({
      url: `wss://${address}`,
      WebSocket: socketClass,
      lazy: {enabled: true, closeMs: IDLE_CLOSE_MS},
      retryDelayMs: attempt =>
        Math.min(MAX_RECONNECT_DELAY_MS, attempt === 0 ? 0 : 20 * 2 ** attempt),
      keepAlive: {
        enabled: true,
        intervalMs: PING_INTERVAL_MS,
        pongTimeoutMs: PONG_TIMEOUT_MS,
      },
    });
    const bounds = createCallBounds<Router>(clock, sentAt =>
      replaceIfSilent(address, sentAt, lastReceivedAt),
    );
    const client = createTRPCClient<Router>({
      // No router of this project transforms data, but the generic type does
      // not show that.
      links: [bounds, wsLink<Router>({client: socket} as never)],
    });
    return {client, isOpen: () => open, close: () => void socket.close()};
  }

  function remove(address: string) {
    connections.get(address)?.close();
    connections.delete(address);
  }

  return {
    get(address) {
      const held = connections.get(address) ?? openConnection(address);
      connections.set(address, held);
      return held.client;
    },
    remove,
    close() {
      for (const connection of connections.values()) connection.close();
      connections.clear();
    },
    describeState: () => ({
      replaced,
      connections: Object.fromEntries(
        [...connections].map(([address, held]) => [
          address,
          held.isOpen() ? 'open' : 'closed',
        ]),
      ),
    }),
  };
}
