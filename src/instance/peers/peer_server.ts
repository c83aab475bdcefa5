/**
 * Listens for other instances: tRPC over one WebSocket per peer, inside TLS
 * that is authenticated by the shared key. A client without the key fails in
 * the handshake, before any of its bytes reach HTTP, WebSocket or tRPC code.
 */
import {constants as cryptoConstants} from 'node:crypto';
import {createServer} from 'node:https';
import type {Socket} from 'node:net';
import type {AnyRouter} from '@trpc/server';
import {WebSocketServer} from 'ws';
import {listenServer} from '../../common/listen.js';
import {
  HANDSHAKE_TIMEOUT_MS,
  MAX_CONNECTIONS,
  MAX_FRAME_BYTES,
  PEER_CIPHERS,
} from './constants.js';
import type {PeerKeys} from './peer_keys.js';
import {serveConnection} from './peer_responder.js';

/** The running listener. */
export interface PeerServer {
  address: string;
  /**
   * Number of bytes sent and received on all connections so far, TLS included.
   */
  countBytes(): number;
  close(): Promise<void>;
}

/** Listens on `host` and `port`. Port 0 selects a free port. */
export async function startPeerServer(
  host: string,
  port: number,
  router: AnyRouter,
  keys: PeerKeys,
): Promise<PeerServer> {
  const server = createServer(
    {
      ciphers: PEER_CIPHERS,
      minVersion: 'TLSv1.2',
      maxVersion: 'TLSv1.2',
      // A resumed session would outlive the rotation of its key.
      secureOptions: cryptoConstants.SSL_OP_NO_TICKET,
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
      headersTimeout: HANDSHAKE_TIMEOUT_MS,
      pskCallback: (_socket, identity) =>
        keys.find(key => key.identity === identity)?.secret ?? null,
    },
    (_request, response) => {
      response.writeHead(404, {connection: 'close'});
      response.end();
    },
  );
  server.maxConnections = MAX_CONNECTIONS;
  const open = new Set<Socket>();
  let closedBytes = 0;
  server.on('connection', (socket: Socket) => {
    open.add(socket);
    socket.on('close', () => {
      open.delete(socket);
      closedBytes += socket.bytesRead + socket.bytesWritten;
    });
  });
  const sockets = new WebSocketServer({server, maxPayload: MAX_FRAME_BYTES});
  sockets.on('connection', (socket, request) =>
    serveConnection(router, socket, request),
  );
  const address = await listenServer(server, 'peers', host, port);
  return {
    address,
    countBytes: () =>
      [...open].reduce(
        (sum, {bytesRead, bytesWritten}) => sum + bytesRead + bytesWritten,
        closedBytes,
      ),
    async close() {
      for (const socket of sockets.clients) socket.terminate();
      sockets.close();
      server.closeAllConnections();
      await new Promise(resolve => server.close(resolve));
    },
  };
}
