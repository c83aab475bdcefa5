/**
 * The shared key that authenticates connections between instances. Its identity
 * is sent in clear text and shows which key a client uses, so that the previous
 * key continues to work while a rotation proceeds through the fleet.
 */
import {scryptSync} from 'node:crypto';

/** A key as used in the TLS handshake. */
export interface PeerKey {
  identity: string;
  secret: Buffer;
}

/** The keys of this instance. The first one is for its own calls. */
export type PeerKeys = readonly [PeerKey, ...PeerKey[]];

const SALT = 'mulberryrouter peers';
const IDENTITY_BYTES = 16;
const SECRET_BYTES = 32;

/**
 * Makes it costly to guess a weak key from its identity. Deriving a key takes
 * about 10 ms, once at startup.
 */
const SCRYPT_COST = 2 ** 12;

/** `key` and `previousKey` are taken from the settings. */
export function createPeerKeys(key: string, previousKey?: string): PeerKeys {
  const current = createPeerKey(key);
  return previousKey ? [current, createPeerKey(previousKey)] : [current];
}

function createPeerKey(key: string): PeerKey {
  const bytes = scryptSync(key, SALT, IDENTITY_BYTES + SECRET_BYTES, {
    N: SCRYPT_COST,
  });
  return {
    identity: bytes.subarray(0, IDENTITY_BYTES).toString('hex'),
    secret: bytes.subarray(IDENTITY_BYTES),
  };
}
