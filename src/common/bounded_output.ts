/**
 * Log output that never blocks the process and never grows without bound.
 *
 * Failure it answers: whoever reads the logs stops reading, or a fault makes
 * every request log a line. Symptom without it: writes to a full pipe stop the
 * process, or its memory fills with lines, and requests wait for their own log.
 * Lines are collected, written by the file system's own threads one piece at a
 * time, and dropped beyond a rate and a backlog; drops are counted and told.
 */
import {write} from 'node:fs';

/** Lines a second that are written, at the most; further ones are dropped. */
export const MAX_LINES_PER_S = 400;

/** Bytes that may wait for the reader. */
export const MAX_BACKLOG_BYTES = 256 * 1024;

/** Lines are collected for this long, in ms: one write for many lines. */
export const FLUSH_INTERVAL_MS = 50;

/** A stream as the logger takes it. */
export interface BoundedOutput {
  write(line: string): void;
  /** Lines that were dropped so far. */
  countDropped(): number;
  /** Writes what waits, synchronously as far as the reader allows. */
  flush(): Promise<void>;
}

/** Writes a piece to its destination; `done` is called when it is through. */
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
        (error, n) => {
          // A reader that is gone takes its log with it.
          if (error || offset + n >= bytes.length) done();
          else writeFrom(offset + n);
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
  let droppedTold = 0;
  let waiters: (() => void)[] = [];

  function hasBudget(bytes: number): boolean {
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
    if (dropped > droppedTold) {
      const count = dropped - droppedTold;
      pending.push(
        `{"level":40,"dropped":${count},"msg":"log lines dropped"}\n`,
      );
      droppedTold = dropped;
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
      if (!hasBudget(line.length)) {
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
