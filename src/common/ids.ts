/** Identifiers and digests. */
import {createHash, randomBytes} from 'node:crypto';
import {ulid} from 'ulid';

/** A unique id that sorts by the time it was made. */
export function generateId(prefix: string): string {
  return `${prefix}-${ulid().toLowerCase()}`;
}

/** A client account key as shown once to the operator: 192 random bits. */
export function generateSecret(): string {
  return `mr-${randomBytes(24).toString('base64url')}`;
}

/** SHA-256 in hexadecimal. */
export function hashText(text: string | Uint8Array): string {
  return createHash('sha256').update(text).digest('hex');
}
