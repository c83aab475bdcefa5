/** Client of the object store over the S3 protocol. */
import {LIST_LIMIT, STREAM_PIECE_BYTES} from './constants.js';
import type {
  HttpTransport,
  StoreRequest,
  StoreResponse,
} from './http_transport.js';
import type {ByteRange, ObjectStore} from './object_store.js';
import type {Retrier} from './retrier.js';
import {
  buildObjectUrl,
  checkStatus,
  encodeUrlPart,
  isAbsent,
  readListAnswer,
} from './s3_codec.js';
import {createS3Upload} from './s3_upload.js';
import type {Signer} from './signer.js';
import {StoreFailure} from './store_failure.js';

const OK = 200;
const PARTIAL = 206;
const NO_CONTENT = 204;
const PRECONDITION_FAILED = 412;
const RANGE_NOT_SATISFIABLE = 416;

/** The size of the complete object in the header Content-Range. */
const CONTENT_RANGE_SIZE = /\/(\d+)$/;

/** Dependencies of the adapter. */
export interface S3ObjectsDependencies {
  url: string;
  bucket: string;
  transport: HttpTransport;
  signer: Signer;
  retrier: Retrier;
}

/** Sends one request to the object store, with retries within the budget. */
export type S3Call = (
  request: Partial<StoreRequest> & Pick<StoreRequest, 'method' | 'url'>,
  expected: readonly number[],
) => Promise<StoreResponse>;

/** Creates the client of one bucket. */
export function createS3Objects(
  dependencies: S3ObjectsDependencies,
): ObjectStore {
  const {url: base, bucket, transport, signer, retrier} = dependencies;

  const call: S3Call = ({headers = {}, ...request}, expected) =>
    retrier.run(async () => {
      const signed = await signer({...request, headers});
      const response = await transport.send(signed);
      checkStatus(response, expected);
      return response;
    });

  const buildUrl = (name: string) => buildObjectUrl(base, bucket, name);

  /**
   * `etag` pins the version, so that pieces of a replaced object are not mixed.
   */
  function fetchRange(name: string, range: ByteRange, etag?: string) {
    const bytes = `bytes=${range.start}-${range.end - 1}`;
    const headers = {range: bytes, ...(etag && {'if-match': etag})};
    const expected = [
      OK,
      PARTIAL,
      404,
      PRECONDITION_FAILED,
      RANGE_NOT_SATISFIABLE,
    ];
    return call({method: 'GET', url: buildUrl(name), headers}, expected);
  }

  async function fetchWhole(name: string): Promise<Buffer | undefined> {
    const request = {method: 'GET', url: buildUrl(name)} as const;
    const response = await call(request, [OK, 404]);
    return isAbsent(response) ? undefined : response.body;
  }

  async function fetchPart(
    name: string,
    range: ByteRange,
  ): Promise<Buffer | undefined> {
    if (range.end <= range.start) {
      const head = await call({method: 'HEAD', url: buildUrl(name)}, [OK, 404]);
      return isAbsent(head) ? undefined : Buffer.alloc(0);
    }
    const response = await fetchRange(name, range);
    return isAbsent(response) ? undefined : readRange(response, range);
  }

  /**
   * Reads each piece with a separate request, so that a slow consumer keeps no
   * connection open and only a failed piece is retried.
   */
  async function* streamPieces(
    name: string,
    first: StoreResponse,
    range: ByteRange,
  ): AsyncIterable<Buffer> {
    const etag = first.headers.etag;
    const size = findObjectSize(first);
    let piece = readRange(first, computePiece(range, 0));
    let sent = 0;
    while (piece.length > 0) {
      yield piece;
      sent += piece.length;
      const next = computePiece(range, sent);
      if (next.start >= size || next.end <= next.start) return;
      const response = await fetchRange(name, next, etag);
      if (isAbsent(response) || response.status === PRECONDITION_FAILED) {
        throw new StoreFailure(`object ${name} changed while it was read`, {
          effect: 'none',
          retryable: false,
        });
      }
      piece = readRange(response, next);
      if (piece.length === 0) throw buildShortError(name, next.start, size);
    }
    if (range.start < size) throw buildShortError(name, range.start, size);
  }

  return {
    async put(name, body) {
      await call({method: 'PUT', url: buildUrl(name), body}, [OK]);
    },
    openUpload: async name => createS3Upload(call, buildUrl(name)),
    get: (name, range) => (range ? fetchPart(name, range) : fetchWhole(name)),
    async stream(name, range = {start: 0, end: Infinity}) {
      const piece = computePiece(range, 0);
      if (piece.end <= piece.start) {
        const body = await fetchPart(name, piece);
        return body && streamEmpty();
      }
      const first = await fetchRange(name, piece);
      return isAbsent(first) ? undefined : streamPieces(name, first, range);
    },
    async delete(name) {
      const request = {method: 'DELETE', url: buildUrl(name)} as const;
      await call(request, [OK, NO_CONTENT, 404]);
    },
    async list(prefix, after = '') {
      const query = Object.entries({
        'list-type': '2',
        'max-keys': String(LIST_LIMIT),
        'encoding-type': 'url',
        prefix,
        'start-after': after,
      })
        .filter(([, value]) => value !== '')
        .map(([name, value]) => `${name}=${encodeUrlPart(value)}`);
      const url = `${base.replace(/\/$/, '')}/${bucket}?${query.join('&')}`;
      return readListAnswer(await call({method: 'GET', url}, [OK]));
    },
  };
}

/**
 * Finds the size of the complete object. A piece that is shorter than requested does not
 * mean that the object has ended.
 */
function findObjectSize({status, headers, body}: StoreResponse): number {
  if (status === RANGE_NOT_SATISFIABLE) return 0;
  if (status !== PARTIAL) return body.length;
  const [, size] =
    CONTENT_RANGE_SIZE.exec(headers['content-range'] ?? '') ?? [];
  if (size !== undefined) return Number(size);
  throw new StoreFailure(
    'the store sent a range without the size of the object',
    {
      effect: 'none',
      retryable: false,
    },
  );
}

function buildShortError(name: string, at: number, size: number) {
  const message = `object ${name} ended at ${at} of ${size} bytes`;
  return new StoreFailure(message, {effect: 'none', retryable: false});
}

function computePiece(range: ByteRange, sent: number): ByteRange {
  const start = range.start + sent;
  return {start, end: Math.min(range.end, start + STREAM_PIECE_BYTES)};
}

/**
 * Returns the bytes of the range; a server may ignore the range and send the
 * complete object.
 */
function readRange(response: StoreResponse, range: ByteRange): Buffer {
  if (response.status === RANGE_NOT_SATISFIABLE) return Buffer.alloc(0);
  if (response.status === PARTIAL) return response.body;
  return response.body.subarray(range.start, range.end);
}

async function* streamEmpty(): AsyncIterable<Buffer> {}
