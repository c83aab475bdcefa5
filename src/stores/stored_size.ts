/**
 * Sizes of texts as a store receives them: within JSON, in UTF-8.
 *
 * Failure: a length counts UTF-16 units, of which one takes up to three bytes in UTF-8
 * and up to six where JSON escapes it. A transaction bounded by lengths is refused by a
 * store that bounds bytes, each time that it is sent again.
 */

/** Returns the size of a text within JSON, in bytes, without its quotes. */
export function computeStoredBytes(text: string): number {
  return Buffer.byteLength(JSON.stringify(text)) - 2;
}

/** Splits a text into pieces whose stored size is `maxBytes` at most. */
export function splitByStoredBytes(text: string, maxBytes: number): string[] {
  const pieces: string[] = [];
  for (let at = 0; at < text.length; at += pieces.at(-1)!.length) {
    pieces.push(takePiece(text, at, maxBytes));
  }
  return pieces;
}

function takePiece(text: string, at: number, maxBytes: number): string {
  let piece = text.slice(at, at + maxBytes);
  while (piece.length > 1 && computeStoredBytes(piece) > maxBytes) {
    piece = piece.slice(0, Math.floor(piece.length / 2));
  }
  return piece;
}
