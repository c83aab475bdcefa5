/** Splits a stream of bytes into lines, with one line in memory at a time. */
import {RouterError} from '../../common/errors.js';

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const BYTE_ORDER_MARK = '\uFEFF';

/** A line with its number in the file, starting at 1. */
export interface NumberedLine {
  number: number;
  text: string;
}

/**
 * Reads the lines of `source` that are not blank. Throws RouterError for a line
 * of more than `maxLineBytes` or a source of more than `maxBytes`.
 */
export async function* readLines(
  source: AsyncIterable<Buffer>,
  maxLineBytes: number,
  maxBytes: number,
): AsyncGenerator<NumberedLine> {
  let number = 0;
  let total = 0;
  let partial: Buffer[] = [];
  let partialBytes = 0;

  function takeLine(tail: Buffer): NumberedLine | undefined {
    number++;
    const complete =
      partial.length === 0 ? tail : Buffer.concat([...partial, tail]);
    partial = [];
    partialBytes = 0;
    const text = decodeLine(complete, number);
    return text === '' ? undefined : {number, text};
  }

  for await (const chunk of source) {
    total += chunk.length;
    if (total > maxBytes) throw buildSizeError('file', maxBytes);
    let start = 0;
    for (;;) {
      const end = chunk.indexOf(NEWLINE, start);
      const length = (end < 0 ? chunk.length : end) - start;
      if (partialBytes + length > maxLineBytes) {
        throw buildSizeError(`line ${number + 1}`, maxLineBytes);
      }
      if (end < 0) break;
      const line = takeLine(chunk.subarray(start, end));
      start = end + 1;
      if (line) yield line;
    }
    partial.push(Buffer.from(chunk.subarray(start)));
    partialBytes += chunk.length - start;
  }
  if (partialBytes === 0) return;
  const last = takeLine(Buffer.alloc(0));
  if (last) yield last;
}

function decodeLine(bytes: Buffer, number: number): string {
  const end =
    bytes.at(-1) === CARRIAGE_RETURN ? bytes.length - 1 : bytes.length;
  const text = bytes.toString('utf8', 0, end);
  const withoutMark =
    number === 1 && text.startsWith(BYTE_ORDER_MARK) ? text.slice(1) : text;
  return withoutMark.trim();
}

function buildSizeError(what: string, limit: number): RouterError {
  return new RouterError(
    'body_too_large',
    `${what}: larger than ${limit} bytes`,
    {verdict: 'not-run', field: what},
  );
}
