/** Calls to other instances, over one connection per peer. */
import {createTRPCClientProxy, type TRPCClient} from '@trpc/client';
import type {AnyRouter} from '@trpc/server';
import {createSystemClock, type Clock} from '../../common/clock.js';
import type {StateSource} from '../../common/state_dump.js';
import type {SelfDescription} from '../members/members.js';
import {CALL_TIMEOUT_MS} from './constants.js';
import {createPeerConnection, type PeerConnection} from './peer_connection.js';
import type {PeerKeys} from './peer_keys.js';
import type {CallMessage} from './peer_messages.js';
import type {PeerRouter} from './peer_router.js';
import {openPeerSocket} from './peer_socket.js';

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

interface Peer<Router extends AnyRouter> {
  client: TRPCClient<Router>;
  connection: PeerConnection;
}

/** Options of a call, as the typed client passes them on. */
interface CallOptions {
  context?: {timeoutMs?: number; isNotice?: boolean};
}

/** Options of a call whose response nobody uses: it ends when it is sent. */
export const NOTICE_OPTIONS = {context: {isNotice: true}};

/** `self` is sent to each peer when a connection opens. */
export function createPeerClients<Router extends AnyRouter = PeerRouter>(
  self: SelfDescription,
  keys: PeerKeys,
  clock: Clock = createSystemClock(),
): PeerClients<Router> & StateSource {
  const peers = new Map<string, Peer<Router>>();
  let replaced = 0;

  /**
   * Replaces a connection that is open but silent. If a device on the network
   * path has lost the connection's state, it stays open and silent, while new
   * connections work. So if nothing was received since a call was sent, and
   * that call timed out, the next call uses a new connection.
   */
  function replaceSilent(address: string) {
    replaced++;
    remove(address);
  }

  function openPeer(address: string): Peer<Router> {
    let keyIndex = 0;
    const connection = createPeerConnection(
      clock,
      () =>
        openPeerSocket(address, self, keys[keyIndex % keys.length], () => {
          // During a key rotation the peer may know only the previous key.
          keyIndex++;
        }),
      () => replaceSilent(address),
    );
    return {client: createTypedClient(connection), connection};
  }

  function remove(address: string) {
    peers.get(address)?.connection.close();
    peers.delete(address);
  }

  return {
    get(address) {
      const held = peers.get(address) ?? openPeer(address);
      peers.set(address, held);
      return held.client;
    },
    remove,
    close() {
      for (const {connection} of peers.values()) connection.close();
      peers.clear();
    },
    describeState: () => ({
      replaced,
      connections: Object.fromEntries(
        [...peers].map(([address, {connection}]) => [
          address,
          connection.isOpen() ? 'open' : 'closed',
        ]),
      ),
    }),
  };
}

/** Gives a connection the types of the router, in place of tRPC's chain of links. */
function createTypedClient<Router extends AnyRouter>(
  connection: PeerConnection,
): TRPCClient<Router> {
  function createProcedure(method: CallMessage['method']) {
    return (path: string, input: unknown, options?: CallOptions) =>
      connection.call({
        method,
        path,
        input,
        timeoutMs: options?.context?.timeoutMs ?? CALL_TIMEOUT_MS,
        isNotice: options?.context?.isNotice,
      });
  }
  return createTRPCClientProxy<Router>({
    query: createProcedure('query'),
    mutation: createProcedure('mutation'),
  } as never);
}
