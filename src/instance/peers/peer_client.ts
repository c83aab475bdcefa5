/** Calls to other instances, over one connection to each. */
import {createTRPCClient, createWSClient, wsLink} from '@trpc/client';
import type {TRPCClient} from '@trpc/client';
import {WebSocket} from 'ws';
import type {SelfDescription} from '../members/members.js';
import type {PeerRouter} from './peer_router.js';

/** Typed client of one peer. */
export type PeerClient = TRPCClient<PeerRouter>;

/** The clients of all peers this instance talks to. */
export interface PeerClients {
  /** Connects on first use; the client reconnects by itself. */
  get(address: string): PeerClient;
  /** Ends the connection to a peer that has left. */
  remove(address: string): void;
  close(): void;
}

interface Connection {
  client: PeerClient;
  close(): void;
}

/** `self` is told to each peer on connecting. */
export function createPeerClients(self: SelfDescription): PeerClients {
  const connections = new Map<string, Connection>();

  function openConnection(address: string): Connection {
    const socket = createWSClient({
      url: `ws://${address}`,
      WebSocket: class extends WebSocket {
        constructor(url: string) {
          const headers = {
            'x-peer-name': self.name,
            'x-peer-incarnation': self.incarnation,
          };
          super(url, {headers});
        }
      } as never,
      lazy: {enabled: true, closeMs: 60_000},
    });
    const client = createTRPCClient<PeerRouter>({
      links: [wsLink({client: socket})],
    });
    return {client, close: () => void socket.close()};
  }

  return {
    get(address) {
      const held = connections.get(address) ?? openConnection(address);
      connections.set(address, held);
      return held.client;
    },
    remove(address) {
      connections.get(address)?.close();
      connections.delete(address);
    },
    close() {
      for (const connection of connections.values()) connection.close();
      connections.clear();
    },
  };
}
