/**
 * Writes an object in pieces. Pieces are buffered up to the part size that S3
 * requires, and a part is sent before the next piece is accepted. An object
 * that fits into one part is written with a plain put.
 */
import {UPLOAD_PART_BYTES} from './constants.js';
import type {ObjectUpload} from './object_store.js';
import {
  checkCompleteAnswer,
  encodeCompletion,
  isAbsent,
  readOpenAnswer,
  type UploadedPart,
} from './s3_codec.js';
import type {S3Call} from './s3_objects.js';
import {StoreFailure} from './store_failure.js';

const OK = 200;

/** `url` is that of the object. */
export function createS3Upload(call: S3Call, url: string): ObjectUpload {
  let pieces: Uint8Array[] = [];
  let pendingBytes = 0;
  let sentBytes = 0;
  let uploadId: string | undefined;
  let state: 'open' | 'failed' | 'ended' = 'open';
  const parts: UploadedPart[] = [];

  /**
   * Runs one step. After a failure a piece may be missing, and continuing would
   * complete an object with a gap, so only `cancel` is allowed then.
   */
  async function runStep(step: () => Promise<void>) {
    if (state !== 'open') {
      throw new StoreFailure(`the upload has ${state}`, {
        effect: 'none',
        retryable: false,
      });
    }
    try {
      await step();
    } catch (error) {
      state = 'failed';
      throw error;
    }
  }

  function takePending(): Buffer {
    const body = Buffer.concat(pieces);
    pieces = [];
    pendingBytes = 0;
    return body;
  }

  async function openUpload(): Promise<string> {
    const answer = await call({method: 'POST', url: `${url}?uploads=`}, [OK]);
    return readOpenAnswer(answer);
  }

  /** Sends a part; sending it again under the same number replaces it. */
  async function sendPart(body: Buffer) {
    uploadId ??= await openUpload();
    const number = parts.length + 1;
    const query = `partNumber=${number}&uploadId=${encodeURIComponent(uploadId)}`;
    const answer = await call({method: 'PUT', url: `${url}?${query}`, body}, [
      OK,
    ]);
    parts.push({number, etag: answer.headers.etag ?? ''});
    sentBytes += body.length;
  }

  /**
   * Throws unless the complete object exists: an upload that no longer exists
   * may have been completed by a request whose response was lost.
   */
  async function checkCompleted() {
    const head = await call({method: 'HEAD', url}, [OK, 404]);
    if (Number(head.headers['content-length']) === sentBytes) return;
    throw new StoreFailure('the upload is gone', {
      effect: 'none',
      retryable: false,
    });
  }

  async function finishUpload(id: string) {
    const query = `uploadId=${encodeURIComponent(id)}`;
    const body = encodeCompletion(parts);
    const answer = await call({method: 'POST', url: `${url}?${query}`, body}, [
      OK,
      404,
    ]);
    if (isAbsent(answer)) await checkCompleted();
    else checkCompleteAnswer(answer);
  }

  async function finishObject() {
    const lastPart = takePending();
    if (uploadId === undefined) {
      await call({method: 'PUT', url, body: lastPart}, [OK]);
      return;
    }
    if (lastPart.length > 0) await sendPart(lastPart);
    await finishUpload(uploadId);
  }

  return {
    append: piece =>
      runStep(async () => {
        pieces.push(piece);
        pendingBytes += piece.byteLength;
        if (pendingBytes >= UPLOAD_PART_BYTES) await sendPart(takePending());
      }),
    async complete() {
      await runStep(finishObject);
      state = 'ended';
    },
    async cancel() {
      takePending();
      const isOver = state === 'ended' || uploadId === undefined;
      state = 'ended';
      if (isOver) return;
      const query = `uploadId=${encodeURIComponent(uploadId!)}`;
      await call({method: 'DELETE', url: `${url}?${query}`}, [OK, 204, 404]);
    },
  };
}
