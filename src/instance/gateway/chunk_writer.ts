/**
 * Writes the body of a response in chunks, with one write to the socket for each.
 *
 * Node.js writes the length of a chunk, its bytes and the line ends one by one and
 * sends them together in the next turn of the event loop, which costs more than the
 * rest of the way of an event through an instance.
 */
import type {ServerResponse} from 'node:http';

/** Writes body chunks; the response is ended by its own `end`. */
export interface ChunkWriter {
  /**
   * Returns whether more is accepted immediately; if not, `resume` is called when it
   * is.
   */
  write(chunk: Buffer, resume: () => void): boolean;
}

const LINE_END = '\r\n';

/** The head of the response is sent with the first chunk. */
export function createChunkWriter(response: ServerResponse): ChunkWriter {
  let hasWritten = false;

  /** A response that waits for an earlier one on its connection has no socket yet. */
  function isFramable(): boolean {
    const {socket, chunkedEncoding, destroyed} = response;
    return hasWritten && chunkedEncoding && !destroyed && socket !== null;
  }

  return {
    write(chunk, resume) {
      if (isFramable()) {
        const socket = response.socket!;
        if (socket.write(encodeChunk(chunk))) return true;
        socket.once('drain', resume);
        return false;
      }
      hasWritten = true;
      if (response.write(chunk)) return true;
      response.once('drain', resume);
      return false;
    },
  };
}

/** Builds a chunk in the chunked transfer encoding of HTTP. */
function encodeChunk(chunk: Buffer): Buffer {
  const head = chunk.length.toString(16) + LINE_END;
  const end = head.length + chunk.length;
  const framed = Buffer.allocUnsafe(end + LINE_END.length);
  framed.write(head, 0, 'latin1');
  chunk.copy(framed, head.length);
  framed.write(LINE_END, end, 'latin1');
  return framed;
}
