/** Identifiers and digests. */
import {createHash, randomBytes, randomFillSync} from 'node:crypto';
import {ulid} from 'ulid';

/** Random bytes are drawn from the system so many at a time. */
const POOL_BYTES = 1024;

const pool = Buffer.alloc(POOL_BYTES);
let poolUsed = POOL_BYTES;

/** A number from 0 to below 1; an id draws sixteen, one system call each. */
function drawRandom(): number {
  if (poolUsed === POOL_BYTES) {
    randomFillSync(pool);
    poolUsed = 0;
  }
  return pool[poolUsed++] / 256;
}

/** A unique id that sorts by `at`, the present by the wall clock as a rule. */
export function generateId(prefix: string, at?: number): string {
  return `${prefix}-${ulid(at, drawRandom).toLowerCase()}`;
}

/** A client account key as shown once to the operator: 192 random bits. */
export function generateSecret(): string {
  return `mr-${randomBytes(24).toString('base64url')}`;
}

/** SHA-256 in hexadecimal. */
export function hashText(text: string | Uint8Array): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Hexadecimal digits that name a request's content: 64 bits. */
const CONTENT_DIGITS = 16;

/** What makes two requests the same one, sent again. */
export interface RequestContent {
  account: string | undefined;
  method: string;
  host: string;
  /** Path with the query. */
  target: string;
  body: Uint8Array;
}

/** Names what a request asks for: the same under whichever id it comes. */
export function computeContentId(content: RequestContent): string {
  const {account = '', method, host, target, body} = content;
  const head = JSON.stringify([account, method, host, target]);
  const hash = createHash('sha256').update(head).update(body);
  return hash.digest('hex').slice(0, CONTENT_DIGITS);
}
