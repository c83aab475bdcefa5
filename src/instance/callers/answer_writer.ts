/**
 * Writes a response in pieces with back pressure: no faster than the caller
 * reads it, so that the responses of slow callers are never buffered in memory.
 */
import type {ServerResponse} from 'node:http';
import {RouterError} from '../../common/errors.js';
import {ANSWER_PIECE_BYTES} from './constants.js';

/** Writes the body of one response. */
export interface AnswerWriter {
  /** Returns undefined if more may be written now, else a promise of when. */
  write(data: string | Buffer): Promise<void> | undefined;
}

/**
 * Creates a writer that throws RouterError once the caller has disconnected.
 */
export function createAnswerWriter(response: ServerResponse): AnswerWriter {
  return {
    write(data) {
      if (response.destroyed) throw buildCallerGoneError();
      return response.write(data) ? undefined : awaitDrain(response);
    },
  };
}

/** Writes a large body in pieces and ends the response. */
export async function writeBody(
  response: ServerResponse,
  body: Buffer,
): Promise<void> {
  const writer = createAnswerWriter(response);
  for (let offset = 0; offset < body.length; offset += ANSWER_PIECE_BYTES) {
    await writer.write(body.subarray(offset, offset + ANSWER_PIECE_BYTES));
  }
  response.end();
}

/**
 * Waits for the buffer to drain; the slow caller check bounds the wait by
 * closing the connection.
 */
function awaitDrain(response: ServerResponse): Promise<void> {
  return new Promise((resolve, reject) => {
    const handleDrain = () => {
      response.off('close', handleClose);
      resolve();
    };
    const handleClose = () => {
      response.off('drain', handleDrain);
      reject(buildCallerGoneError());
    };
    response.once('drain', handleDrain);
    response.once('close', handleClose);
  });
}

function buildCallerGoneError(): RouterError {
  return new RouterError('cancelled', 'the caller is gone', {
    verdict: 'may-have-run',
  });
}
