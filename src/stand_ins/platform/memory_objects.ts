/** An in-memory object store. */
import {
  type ByteRange,
  type ObjectStore,
  type ObjectUpload,
} from '../../stores/object_store.js';
import {StoreError} from '../../stores/table_store.js';
import {OBJECT_WRITES, type FaultGate} from './platform_faults.js';

const LIST_LIMIT = 1000;
const STREAM_CHUNK_BYTES = 64 * 1024;

/** Creates an empty store. */
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
    gate.loseResponse([OBJECT_WRITES]);
  }

  return {
    put: (name, body) => writeObject(name, Buffer.from(body)),
    async openUpload(name): Promise<ObjectUpload> {
      await gate.enter('objects', 'write');
      const chunks: Buffer[] = [];
      let isOpen = true;
      return {
        async append(chunk) {
          if (!isOpen)
            throw new StoreError(
              'upload is already completed or cancelled',
              'none',
            );
          await gate.enter('objects', 'write');
          chunks.push(Buffer.from(chunk));
        },
        async complete() {
          if (!isOpen)
            throw new StoreError(
              'upload is already completed or cancelled',
              'none',
            );
          await writeObject(name, Buffer.concat(chunks));
          isOpen = false;
        },
        async cancel() {
          isOpen = false;
          chunks.length = 0;
        },
      };
    },
    get: readObject,
    async stream(name, range) {
      const body = await readObject(name, range);
      return body && streamChunks(body, gate);
    },
    async delete(name) {
      await gate.enter('objects', 'write');
      objects.delete(name);
      gate.loseResponse([OBJECT_WRITES]);
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

/** Streams a body; throws when the store goes down before its end. */
async function* streamChunks(
  body: Buffer,
  gate: FaultGate,
): AsyncIterable<Buffer> {
  for (let at = 0; at < body.length; at += STREAM_CHUNK_BYTES) {
    const {down, downServices} = gate.faults;
    if (down || downServices.includes('objects')) {
      throw new StoreError(
        'object store went down while the object was read',
        'none',
      );
    }
    yield body.subarray(at, at + STREAM_CHUNK_BYTES);
  }
}
