/** Opens the WebSocket to a peer, inside TLS. */
import {createSecureContext, type SecureContext} from 'node:tls';
import {WebSocket} from 'ws';
import type {SelfDescription} from '../members/members.js';
import {
  HANDSHAKE_TIMEOUT_MS,
  MAX_FRAME_BYTES,
  PEER_CIPHERS,
} from './constants.js';
import type {PeerKey} from './peer_keys.js';

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

/** `onKeyRejected` is called if the peer seems not to know the key. */
export function openPeerSocket(
  address: string,
  self: SelfDescription,
  key: PeerKey,
  onKeyRejected: () => void,
): WebSocket {
  const socket = new WebSocket(`wss://${address}`, {
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
  socket.on('open', () => {
    isOpened = true;
  });
  socket.on('error', ({code = ''}: NodeJS.ErrnoException) => {
    if (!isOpened && REJECTION_CODE.test(code)) onKeyRejected();
  });
  return socket;
}
