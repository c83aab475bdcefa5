/**
 * The shared key that proves a connection to come from one of our instances.
 * Its identity, sent in the clear, tells which key a client uses, so that the
 * previous one keeps working while a rotation rolls over the fleet.
 */
import {scryptSync} from 'node:crypto';

/** A key as the TLS handshake uses it. */
export interface PeerKey {
  identity: string;
  secret: Buffer;
}

/** The keys of this instance, the one for its own calls first. */
export type PeerKeys = readonly [PeerKey, ...PeerKey[]];

const SALT = 'mulberryrouter peers';
const IDENTITY_BYTES = 16;
const SECRET_BYTES = 32;

/**
 * Cost of one guess at a weak key from its identity. Deriving takes about 10 ms,
 * once at start.
 */
const SCRYPT_COST = 2 ** 12;

/** `key` and `previousKey` are those of the settings. */
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
