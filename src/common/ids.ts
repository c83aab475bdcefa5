/** Generates identifiers and computes digests. */
import {createHash, randomBytes, randomFillSync} from 'node:crypto';
import {ulid} from 'ulid';

/** Random bytes fetched from the system at a time. */
const POOL_BYTES = 1024;

const pool = Buffer.alloc(POOL_BYTES);
let poolUsed = POOL_BYTES;

/**
 * Returns a random number from 0 to below 1. An id needs 16 of them; without
 * the pool each would be a system call.
 */
function drawRandom(): number {
  if (poolUsed === POOL_BYTES) {
    randomFillSync(pool);
    poolUsed = 0;
  }
  return pool[poolUsed++] / 256;
}

/**
 * Generates a unique id that sorts by `at`, which defaults to the current wall
 * time.
 */
export function generateId(prefix: string, at?: number): string {
  return `${prefix}-${ulid(at, drawRandom).toLowerCase()}`;
}

/**
 * Generates a client account key of 192 random bits, shown once to the
 * operator.
 */
export function generateSecret(): string {
  return `mr-${randomBytes(24).toString('base64url')}`;
}

/** Computes a SHA-256 digest in hexadecimal. */
export function hashText(text: string | Uint8Array): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Largest length of an id of a caller that is kept or stored as it is. */
export const MAX_KEPT_ID_CHARACTERS = 64;

/** Returns an id of a caller, or its digest if it is too long to be kept or stored. */
export function normalizeId(id: string): string {
  return id.length <= MAX_KEPT_ID_CHARACTERS ? id : hashText(id);
}

/** Hexadecimal digits of a content id: 64 bits. */
const CONTENT_DIGITS = 16;

/** The content of a request; a request with equal content is a resend. */
export interface RequestContent {
  account: string | undefined;
  method: string;
  host: string;
  /** Path with the query. */
  target: string;
  body: Uint8Array;
}

/**
 * Computes the id of a request's content, which does not depend on the request
 * id.
 */
export function computeContentId(content: RequestContent): string {
  const {account = '', method, host, target, body} = content;
  const head = JSON.stringify([account, method, host, target]);
  const hash = createHash('sha256').update(head).update(body);
  return hash.digest('hex').slice(0, CONTENT_DIGITS);
}
