/** The WebSocket of one connection to a peer, inside TLS. */
import {WebSocket} from 'ws';
import type {SelfDescription} from '../members/members.js';
import {
  HANDSHAKE_TIMEOUT_MS,
  MAX_FRAME_BYTES,
  PEER_CIPHERS,
} from './constants.js';
import type {PeerKey} from './peer_keys.js';

/** What a client wants to know of its socket. */
export interface SocketEvents {
  /** The key for the next attempt. */
  chooseKey(): PeerKey;
  onOpen(): void;
  onMessage(): void;
  /** `opened`: whether the attempt had got as far as an open connection. */
  onClose(opened: boolean): void;
}

/** A WebSocket class bound to one peer, as the trpc client takes it. */
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
        // There are no certificates: the shared key proves both ends.
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
