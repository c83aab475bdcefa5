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
   * Returns whether all was sent at once; if not, `onSent` of the last chunk is called
   * when it is.
   */
  write(chunk: Buffer, onSent: () => void): boolean;
}

const LINE_END = '\r\n';

/** The head of the response is sent with the first chunk. */
export function createChunkWriter(response: ServerResponse): ChunkWriter {
  let hasWritten = false;
  let notifySent: (() => void) | undefined;

  /** A response that waits for an earlier one on its connection has no socket yet. */
  function isFramable(): boolean {
    const {socket, chunkedEncoding, destroyed} = response;
    return hasWritten && chunkedEncoding && !destroyed && socket !== null;
  }

  function handleSent() {
    const notify = notifySent;
    notifySent = undefined;
    notify?.();
  }

  return {
    write(chunk, onSent) {
      notifySent = onSent;
      if (!isFramable()) {
        hasWritten = true;
        response.write(chunk, handleSent);
        return false;
      }
      const socket = response.socket!;
      socket.write(encodeChunk(chunk), handleSent);
      if (socket.writableLength > 0) return false;
      notifySent = undefined;
      return true;
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
