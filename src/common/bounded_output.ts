/**
 * Log output that never blocks the process and has a bounded buffer.
 *
 * The reader of the logs may stop reading, or a fault may make every request
 * log a line. Writes to a full pipe would then block the process, or its memory
 * would fill with lines, and requests would wait for their own log lines.
 * Therefore lines are buffered and written in pieces by the file system's
 * thread pool, one piece at a time. Lines beyond a rate or a backlog limit are
 * dropped; drops are counted and logged.
 */
import {write} from 'node:fs';

/** Maximum lines per second; further ones are dropped. */
export const MAX_LINES_PER_S = 400;

/** Maximum bytes that wait for the reader. */
export const MAX_BACKLOG_BYTES = 256 * 1024;

/** How long lines are buffered to be written together, in ms. */
export const FLUSH_INTERVAL_MS = 50;

/** The output stream of a logger. */
export interface BoundedOutput {
  write(line: string): void;
  /** Number of lines dropped so far. */
  countDropped(): number;
  /** Starts to write the buffered lines now; resolves when all are written. */
  flush(): Promise<void>;
}

/** Writes a piece to its destination and then calls `done`. */
export type PieceWriter = (piece: string, done: () => void) => void;

/** Writes to a file descriptor without blocking the event loop. */
export function createDescriptorWriter(descriptor: number): PieceWriter {
  return (piece, done) => {
    const bytes = Buffer.from(piece);
    function writeFrom(offset: number) {
      write(
        descriptor,
        bytes,
        offset,
        bytes.length - offset,
        null,
        (error, bytesWritten) => {
          // After an error, such as a closed pipe, the rest of the piece is
          // lost.
          if (error || offset + bytesWritten >= bytes.length) done();
          else writeFrom(offset + bytesWritten);
        },
      );
    }
    writeFrom(0);
  };
}

/** `now` is monotonic, in ms. */
export function createBoundedOutput(
  writePiece: PieceWriter,
  now: () => number = () => performance.now(),
): BoundedOutput {
  let pending: string[] = [];
  let pendingBytes = 0;
  let isWriting = false;
  let timer: NodeJS.Timeout | undefined;
  let windowStart = now();
  let linesInWindow = 0;
  let dropped = 0;
  let reportedDropped = 0;
  let waiters: (() => void)[] = [];

  function hasRoom(bytes: number): boolean {
    const at = now();
    if (at - windowStart >= 1000) {
      windowStart = at;
      linesInWindow = 0;
    }
    linesInWindow++;
    return (
      linesInWindow <= MAX_LINES_PER_S &&
      pendingBytes + bytes <= MAX_BACKLOG_BYTES
    );
  }

  function takePiece(): string {
    if (dropped > reportedDropped) {
      const count = dropped - reportedDropped;
      pending.push(
        `{"level":40,"dropped":${count},"msg":"log lines dropped"}\n`,
      );
      reportedDropped = dropped;
    }
    const piece = pending.join('');
    pending = [];
    return piece;
  }

  function flushPending() {
    timer = undefined;
    if (isWriting) return;
    if (pending.length === 0) {
      for (const resolve of waiters) resolve();
      waiters = [];
      return;
    }
    isWriting = true;
    const piece = takePiece();
    writePiece(piece, () => {
      isWriting = false;
      pendingBytes = Math.max(0, pendingBytes - piece.length);
      if (pending.length > 0 || waiters.length > 0) flushPending();
    });
  }

  return {
    write(line) {
      if (!hasRoom(line.length)) {
        dropped++;
        return;
      }
      pending.push(line);
      pendingBytes += line.length;
      if (timer || isWriting) return;
      timer = setTimeout(flushPending, FLUSH_INTERVAL_MS);
      timer.unref();
    },
    countDropped: () => dropped,
    flush() {
      return new Promise(resolve => {
        waiters.push(resolve);
        clearTimeout(timer);
        flushPending();
      });
    },
  };
}
