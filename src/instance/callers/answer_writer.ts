/**
 * Writes an answer piece by piece, no faster than the caller takes it, so that
 * an instance never holds the answers of slow callers in memory.
 */
import type {ServerResponse} from 'node:http';
import {RouterError} from '../../common/errors.js';
import {ANSWER_PIECE_BYTES} from './constants.js';

/** Writes the body of one answer. */
export interface AnswerWriter {
  /** Undefined when more may follow at once, else resolves when it may. */
  write(data: string | Buffer): Promise<void> | undefined;
}

/** Throws RouterError once the caller is gone. */
export function createAnswerWriter(response: ServerResponse): AnswerWriter {
  return {
    write(data) {
      if (response.destroyed) throw buildGone();
      return response.write(data) ? undefined : awaitDrain(response);
    },
  };
}

/** Hands a large body over in pieces and ends the answer. */
export async function writeBody(
  response: ServerResponse,
  body: Buffer,
): Promise<void> {
  const writer = createAnswerWriter(response);
  for (let at = 0; at < body.length; at += ANSWER_PIECE_BYTES) {
    await writer.write(body.subarray(at, at + ANSWER_PIECE_BYTES));
  }
  response.end();
}

/** The guard on slow readers ends the wait by closing the connection. */
function awaitDrain(response: ServerResponse): Promise<void> {
  return new Promise((resolve, reject) => {
    const handleDrain = () => {
      response.off('close', handleClose);
      resolve();
    };
    const handleClose = () => {
      response.off('drain', handleDrain);
      reject(buildGone());
    };
    response.once('drain', handleDrain);
    response.once('close', handleClose);
  });
}

function buildGone(): RouterError {
  return new RouterError('cancelled', 'the caller is gone', {
    verdict: 'may-have-run',
  });
}
