/**
 * Reads of plain TCP connections. The bytes of a connection can be collected and
 * delivered in ticks that are shared by all connections that collect, because most of
 * the cost of a read is independent of the number of bytes.
 *
 * Failure: the other side dies between two ticks. The socket is read all the time, so
 * that its end or its error arrives at once; the bytes collected until then are
 * delivered before it. Stopping the reads until the next tick would save the system
 * calls, too, but then a broken connection is noticed only at the next tick.
 */
import type {OnReadOpts, Socket} from 'node:net';

/** Collects the reads of one connection until it is stopped. */
export interface ReadCollector {
  /** Delivers what was collected; further reads are delivered immediately. */
  stop(): void;
}

/** Connections whose reads can be collected. */
export interface SocketReads {
  /**
   * Returns the options with which a connection is opened, and `attach`, to be called
   * with its socket before any other listener is added.
   */
  prepare(): {onread: OnReadOpts; attach: (socket: Socket) => void};
  /**
   * Collects the reads of a socket. `onDelivered` is called after each delivery, and
   * at the next tick even if nothing is read until then. Returns undefined if the
   * socket was not prepared.
   */
  collect(socket: Socket, onDelivered: () => void): ReadCollector | undefined;
}

/** Size of the buffer that all sockets are read into, in bytes. */
const READ_BUFFER_BYTES = 64 * 1024;

/** Collected bytes of one connection that are delivered before the next tick. */
const MAX_COLLECTED_BYTES = 64 * 1024;

/** Last bytes of a chunked response. */
const LAST_CHUNK = Buffer.from('0\r\n\r\n');

/** Bytes of one connection. */
interface SocketReader {
  receive(chunk: Buffer): void;
  flush(): void;
  collect(onDelivered: () => void): void;
  stop(): void;
}

/** `tickMs` is the longest time for which reads are collected. */
export function createSocketReads(tickMs: number): SocketReads {
  // Sockets are read one after the other, and each read is copied before the next.
  const buffer = Buffer.allocUnsafeSlow(READ_BUFFER_BYTES);
  const readers = new WeakMap<Socket, SocketReader>();
  const due = new Set<SocketReader>();

  function flushAll() {
    const flushed = [...due];
    due.clear();
    for (const reader of flushed) reader.flush();
  }

  function schedule(reader: SocketReader) {
    if (due.size === 0) setTimeout(flushAll, tickMs).unref();
    due.add(reader);
  }

  function createReader(socket: Socket): SocketReader {
    let collected: Buffer[] = [];
    let bytes = 0;
    let notifyDelivered: (() => void) | undefined;

    function forward(chunk: Buffer) {
      socket.emit('data', chunk);
    }

    function flush() {
      if (collected.length > 0) {
        const chunk = Buffer.concat(collected);
        collected = [];
        bytes = 0;
        forward(chunk);
      }
      notifyDelivered?.();
    }

    const reader: SocketReader = {
      receive(chunk) {
        if (!notifyDelivered) {
          forward(chunk);
          return;
        }
        collected.push(chunk);
        bytes += chunk.length;
        if (bytes > MAX_COLLECTED_BYTES || isLastChunk(chunk)) flush();
        else schedule(reader);
      },
      flush,
      collect(onDelivered) {
        notifyDelivered = onDelivered;
        schedule(reader);
      },
      stop() {
        flush();
        notifyDelivered = undefined;
      },
    };
    return reader;
  }

  return {
    prepare() {
      let reader: SocketReader | undefined;
      return {
        onread: {
          buffer,
          callback(length, read) {
            const chunk = Buffer.from(read.subarray(0, length));
            reader!.receive(chunk);
            return true;
          },
        },
        attach(socket) {
          reader = createReader(socket);
          readers.set(socket, reader);
          const {flush} = reader;
          socket.on('end', flush).on('error', flush).on('close', flush);
        },
      };
    },
    collect(socket, onDelivered) {
      const reader = readers.get(socket);
      reader?.collect(onDelivered);
      return reader;
    },
  };
}

/** Whether a response probably ends with this chunk; it is then delivered at once. */
function isLastChunk(chunk: Buffer): boolean {
  const from = chunk.length - LAST_CHUNK.length;
  return (
    from >= 0 && chunk.compare(LAST_CHUNK, 0, LAST_CHUNK.length, from) === 0
  );
}
