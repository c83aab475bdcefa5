/**
 * Takes the chunks out of the bytes of a body in HTTP's chunked transfer encoding, as
 * long as they are plain ones. The end of the body and anything unusual is left to the
 * HTTP parser, to which the chunks taken out before are invisible.
 */

/** What was found in the bytes received so far. */
export interface SplitBytes {
  /** Contents of the chunks; undefined if none is complete. */
  content: Buffer | undefined;
  /** Bytes that the parser has to read, together with all that follow. */
  left: Buffer | undefined;
}

/** Splits one body, from the start of a chunk. */
export interface ChunkSplitter {
  push(bytes: Buffer): SplitBytes;
  /** Returns the bytes of a chunk that is not complete. */
  takeRest(): Buffer | undefined;
}

/** Larger chunks are left to the parser, which delivers them before they are complete. */
const MAX_CHUNK_BYTES = 4096;
const MAX_SIZE_DIGITS = 4;

const CR = 13;
const LF = 10;

/** A chunk within bytes; its content is between `start` and `end`. */
interface ChunkPlace {
  kind: 'chunk';
  start: number;
  end: number;
}

export function createChunkSplitter(): ChunkSplitter {
  let rest: Buffer | undefined;

  return {
    push(bytes) {
      const data = rest ? Buffer.concat([rest, bytes]) : bytes;
      rest = undefined;
      const contents: Buffer[] = [];
      let at = 0;
      let left: Buffer | undefined;
      while (at < data.length && !left) {
        const place = findChunk(data, at);
        if (place === 'incomplete') {
          rest = data.subarray(at);
          break;
        }
        if (place === 'unusual') left = data.subarray(at);
        else {
          contents.push(data.subarray(place.start, place.end));
          at = place.end + 2;
        }
      }
      return {content: joinContents(contents), left};
    },
    takeRest() {
      const taken = rest;
      rest = undefined;
      return taken;
    },
  };
}

function findChunk(
  data: Buffer,
  from: number,
): ChunkPlace | 'incomplete' | 'unusual' {
  let size = 0;
  let at = from;
  for (; at < data.length; at++) {
    const digit = parseHexDigit(data[at]);
    if (digit < 0) break;
    size = size * 16 + digit;
  }
  const digits = at - from;
  if (digits > MAX_SIZE_DIGITS || size > MAX_CHUNK_BYTES) return 'unusual';
  if (at + 1 >= data.length) return digits > 0 ? 'incomplete' : 'unusual';
  if (size === 0 || !isLineEnd(data, at)) return 'unusual';
  const start = at + 2;
  const end = start + size;
  if (end + 1 >= data.length) return 'incomplete';
  return isLineEnd(data, end) ? {kind: 'chunk', start, end} : 'unusual';
}

/** Returns -1 for other bytes. */
function parseHexDigit(byte: number): number {
  if (byte >= 48 && byte <= 57) return byte - 48;
  const lower = byte | 32;
  return lower >= 97 && lower <= 102 ? lower - 87 : -1;
}

function isLineEnd(data: Buffer, at: number): boolean {
  return data[at] === CR && data[at + 1] === LF;
}

function joinContents(contents: readonly Buffer[]): Buffer | undefined {
  return contents.length > 1 ? Buffer.concat(contents) : contents[0];
}
