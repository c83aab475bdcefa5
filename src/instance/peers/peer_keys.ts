/**
 * The shared key that authenticates connections between instances. Its identity
 * is sent in clear text and shows which key a client uses, so that the previous
 * key continues to work while a rotation proceeds through the fleet.
 */
import {hkdfSync, scryptSync} from 'node:crypto';

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
const KEY_BYTES = IDENTITY_BYTES + SECRET_BYTES;

/** Makes it costly to guess a weak key from its identity. */
const SCRYPT_COST = 2 ** 12;

/** `key` and `previousKey` are taken from the settings. */
export function createPeerKeys(key: string, previousKey?: string): PeerKeys {
  const current = createPeerKey(key);
  return previousKey ? [current, createPeerKey(previousKey)] : [current];
}

/**
 * `secret` is generated and cannot be guessed, so its derivation may be fast. The
 * slow derivation of `createPeerKeys` is kept as the previous key, for instances of
 * an earlier build in the same fleet, and computed on first use.
 */
export function createGeneratedPeerKeys(secret: string): PeerKeys {
  const bytes = hkdfSync('sha256', secret, SALT, '', KEY_BYTES);
  let previous: PeerKey | undefined;
  const getPrevious = () => (previous ??= createPeerKey(secret));
  return [
    splitKey(Buffer.from(bytes)),
    {
      get identity() {
        return getPrevious().identity;
      },
      get secret() {
        return getPrevious().secret;
      },
    },
  ];
}

function createPeerKey(key: string): PeerKey {
  return splitKey(scryptSync(key, SALT, KEY_BYTES, {N: SCRYPT_COST}));
}

function splitKey(bytes: Buffer): PeerKey {
  return {
    identity: bytes.subarray(0, IDENTITY_BYTES).toString('hex'),
    secret: bytes.subarray(IDENTITY_BYTES),
  };
}
