/**
 * An object written piece by piece: pieces gather to a part of the size that
 * S3 asks for, and a part is sent before the next piece is taken. What fits
 * one part becomes a plain put.
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

/** `url` is the object's address. */
export function createS3Upload(call: S3Call, url: string): ObjectUpload {
  let pieces: Uint8Array[] = [];
  let heldBytes = 0;
  let sentBytes = 0;
  let uploadId: string | undefined;
  let state: 'open' | 'failed' | 'ended' = 'open';
  const parts: UploadedPart[] = [];

  /**
   * After a failure a piece may be missing: going on would complete an object
   * with a hole, so all that is left is to cancel.
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

  function takeHeld(): Buffer {
    const body = Buffer.concat(pieces);
    pieces = [];
    heldBytes = 0;
    return body;
  }

  async function openUpload(): Promise<string> {
    const answer = await call({method: 'POST', url: `${url}?uploads=`}, [OK]);
    return readOpenAnswer(answer);
  }

  /** Sending a part again under its number replaces it. */
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
   * An upload that is gone may have completed with its answer lost: then the
   * whole object is there.
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
    const rest = takeHeld();
    if (uploadId === undefined) {
      await call({method: 'PUT', url, body: rest}, [OK]);
      return;
    }
    if (rest.length > 0) await sendPart(rest);
    await finishUpload(uploadId);
  }

  return {
    append: piece =>
      runStep(async () => {
        pieces.push(piece);
        heldBytes += piece.byteLength;
        if (heldBytes >= UPLOAD_PART_BYTES) await sendPart(takeHeld());
      }),
    async complete() {
      await runStep(finishObject);
      state = 'ended';
    },
    async cancel() {
      takeHeld();
      const isOver = state === 'ended' || uploadId === undefined;
      state = 'ended';
      if (isOver) return;
      const query = `uploadId=${encodeURIComponent(uploadId!)}`;
      await call({method: 'DELETE', url: `${url}?${query}`}, [OK, 204, 404]);
    },
  };
}
