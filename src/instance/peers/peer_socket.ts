/** The WebSocket of one connection to a peer, inside TLS. */
import {WebSocket} from 'ws';
import type {SelfDescription} from '../members/members.js';
import {
  HANDSHAKE_TIMEOUT_MS,
  MAX_FRAME_BYTES,
  PEER_CIPHERS,
} from './constants.js';
import type {PeerKey} from './peer_keys.js';

/** Callbacks of a peer's socket. */
export interface SocketEvents {
  /** Returns the key for the next connection attempt. */
  chooseKey(): PeerKey;
  onOpen(): void;
  onMessage(): void;
  /** `opened`: whether the connection was open before it closed. */
  onClose(opened: boolean): void;
}

/** Creates a WebSocket class for one peer, as the tRPC client expects it. */
export function createPeerSocketClass(
  self: SelfDescription,
  events: SocketEvents,
): never {
  class PeerSocket extends WebSocket {
    constructor(url: string) {
      const key = events.chooseKey();
      super(url, {
        headers: {
          'x-peer-name': self.name,
          'x-peer-incarnation': self.incarnation,
        },
        handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
        maxPayload: MAX_FRAME_BYTES,
        perMessageDeflate: false,
        ciphers: PEER_CIPHERS,
        minVersion: 'TLSv1.2',
        maxVersion: 'TLSv1.2',
        // There are no certificates: the shared key authenticates both ends.
        checkServerIdentity: () => undefined,
        pskCallback: () => ({identity: key.identity, psk: key.secret}),
      } as never);
      let opened = false;
      this.on('error', () => {});
      this.on('open', () => {
        opened = true;
        events.onOpen();
      });
      this.on('message', () => events.onMessage());
      this.on('close', () => events.onClose(opened));
    }
  }
  return PeerSocket as never;
}
