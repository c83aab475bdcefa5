/** The object store in memory. */
import {
  type ByteRange,
  type ObjectStore,
  type ObjectUpload,
} from '../../stores/object_store.js';
import {StoreError} from '../../stores/table_store.js';
import {OBJECT_WRITES, type FaultGate} from './platform_faults.js';

const LIST_LIMIT = 1000;
const STREAM_PIECE_BYTES = 64 * 1024;

/** Starts empty. */
export function createMemoryObjects(gate: FaultGate): ObjectStore {
  const objects = new Map<string, Buffer>();

  async function readObject(
    name: string,
    range?: ByteRange,
  ): Promise<Buffer | undefined> {
    await gate.enter('objects', 'read');
    const body = objects.get(name);
    return range ? body?.subarray(range.start, range.end) : body;
  }

  async function writeObject(name: string, body: Buffer) {
    await gate.enter('objects', 'write');
    objects.set(name, body);
    gate.loseAnswer([OBJECT_WRITES]);
  }

  return {
    put: (name, body) => writeObject(name, Buffer.from(body)),
    async openUpload(name): Promise<ObjectUpload> {
      await gate.enter('objects', 'write');
      const pieces: Buffer[] = [];
      let open = true;
      return {
        async append(piece) {
          if (!open) throw new StoreError('the upload has ended', 'none');
          await gate.enter('objects', 'write');
          pieces.push(Buffer.from(piece));
        },
        async complete() {
          if (!open) throw new StoreError('the upload has ended', 'none');
          await writeObject(name, Buffer.concat(pieces));
          open = false;
        },
        async cancel() {
          open = false;
          pieces.length = 0;
        },
      };
    },
    get: readObject,
    async stream(name, range) {
      const body = await readObject(name, range);
      return body && streamPieces(body, gate);
    },
    async delete(name) {
      await gate.enter('objects', 'write');
      objects.delete(name);
      gate.loseAnswer([OBJECT_WRITES]);
    },
    async list(prefix, after = '') {
      await gate.enter('objects', 'read');
      return [...objects.keys()]
        .filter(name => name.startsWith(prefix) && name > after)
        .sort()
        .slice(0, LIST_LIMIT);
    },
  };
}

/** Breaks off when the store goes down in the middle. */
async function* streamPieces(
  body: Buffer,
  gate: FaultGate,
): AsyncIterable<Buffer> {
  for (let at = 0; at < body.length; at += STREAM_PIECE_BYTES) {
    const {down, downServices} = gate.faults;
    if (down || downServices.includes('objects')) {
      throw new StoreError('the object broke off', 'none');
    }
    yield body.subarray(at, at + STREAM_PIECE_BYTES);
  }
}
