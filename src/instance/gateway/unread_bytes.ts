/**
 * The bytes of one response that its connection has not accepted yet. Small chunks
 * are copied into blocks: as separate buffers, events of some ten bytes would occupy
 * several times their size.
 */

/** A queue of bytes. */
export interface UnreadBytes {
  /** Bytes of memory that the queue occupies. */
  countBytes(): number;
  push(chunk: Buffer): void;
  /** Takes the next bytes, at most `limit`; undefined if the queue is empty. */
  take(limit: number): Buffer | undefined;
  clear(): void;
}

const BLOCK_BYTES = 16 * 1024;

interface Block {
  bytes: Buffer;
  start: number;
  end: number;
}

export function createUnreadBytes(): UnreadBytes {
  let blocks: Block[] = [];
  let occupied = 0;

  function addBlock(bytes: Buffer, end: number): Block {
    const block = {bytes, start: 0, end};
    blocks.push(block);
    occupied += bytes.length;
    return block;
  }

  function pushCopy(chunk: Buffer) {
    const last = blocks.at(-1);
    const hasSpace = last && last.bytes.length - last.end >= chunk.length;
    const block = hasSpace
      ? last
      : addBlock(Buffer.allocUnsafeSlow(BLOCK_BYTES), 0);
    chunk.copy(block.bytes, block.end);
    block.end += chunk.length;
  }

  return {
    countBytes: () => occupied,
    push(chunk) {
      if (chunk.length < BLOCK_BYTES / 4) pushCopy(chunk);
      else addBlock(chunk, chunk.length);
    },
    take(limit) {
      const [first] = blocks;
      if (!first) return undefined;
      const end = Math.min(first.end, first.start + limit);
      const taken = first.bytes.subarray(first.start, end);
      first.start = end;
      if (end < first.end) return taken;
      blocks.shift();
      occupied -= first.bytes.length;
      return taken;
    },
    clear() {
      blocks = [];
      occupied = 0;
    },
  };
}
