/** Listens for other instances: trpc over one WebSocket for each peer. */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {applyWSSHandler} from '@trpc/server/adapters/ws';
import {WebSocketServer} from 'ws';
import type {PeerRouter} from './peer_router.js';

/** The running listener. */
export interface PeerServer {
  address: string;
  close(): Promise<void>;
}

/** Listens on `host` and `port`; 0 takes a free port. */
export async function startPeerServer(
  host: string,
  port: number,
  router: PeerRouter,
): Promise<PeerServer> {
  const http = createServer();
  const sockets = new WebSocketServer({server: http});
  applyWSSHandler({
    wss: sockets,
    router,
    createContext: ({req}) => ({
      peerName: String(req.headers['x-peer-name'] ?? ''),
      peerIncarnation: String(req.headers['x-peer-incarnation'] ?? ''),
    }),
  });
  await new Promise<void>(resolve => http.listen(port, host, resolve));
  const bound = http.address() as AddressInfo;
  return {
    address: `${host}:${bound.port}`,
    async close() {
      for (const socket of sockets.clients) socket.terminate();
      sockets.close();
      await new Promise(resolve => http.close(resolve));
    },
  };
}
