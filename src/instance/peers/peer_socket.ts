/** The WebSocket of one connection to a peer, inside TLS. */
import {createSecureContext, type SecureContext} from 'node:tls';
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
  /** `isRejected`: whether the peer did not accept the key. */
  onClose(isRejected: boolean): void;
}

/**
 * Codes of errors before a connection is open that a peer which does not know the key
 * may cause. Those of a peer that is down are not among them.
 */
const REJECTION_CODE = /^(EPROTO|ECONNRESET|ERR_SSL.*)$/;

let sharedContext: SecureContext | undefined;

/**
 * Returns the TLS context of all connections to peers. Without it, Node.js creates one
 * for each connection, which takes longer than the handshake.
 */
function getSecureContext(): SecureContext {
  sharedContext ??= createSecureContext({
    ciphers: PEER_CIPHERS,
    minVersion: 'TLSv1.2',
    maxVersion: 'TLSv1.2',
  });
  return sharedContext;
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
        secureContext: getSecureContext(),
        // There are no certificates: the shared key authenticates both ends.
        checkServerIdentity: () => undefined,
        pskCallback: () => ({identity: key.identity, psk: key.secret}),
      } as never);
      let isOpened = false;
      let isRejected = false;
      this.on('error', ({code = ''}: NodeJS.ErrnoException) => {
        isRejected = !isOpened && REJECTION_CODE.test(code);
      });
      this.on('open', () => {
        isOpened = true;
        events.onOpen();
      });
      this.on('message', () => events.onMessage());
      this.on('close', () => events.onClose(isRejected));
    }
  }
  return PeerSocket as never;
}
