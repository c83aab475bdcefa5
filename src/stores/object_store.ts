/** The platform's object store: whole immutable objects under names. */

/** Bytes `start` to `end` (exclusive) of an object. */
export interface ByteRange {
  start: number;
  end: number;
}

/**
 * An object written piece by piece, so that one larger than an instance's
 * memory can be stored. Nothing is to be seen under its name before `complete`.
 */
export interface ObjectUpload {
  /** Pieces may be of any size; a promise at a time, in order. */
  append(piece: Uint8Array): Promise<void>;
  /** Makes the pieces one object, in place of any of that name. */
  complete(): Promise<void>;
  /** Gives the pieces up; harmless after `complete` or a failure. */
  cancel(): Promise<void>;
}

/** The object store. All methods throw StoreError when it gives no answer. */
export interface ObjectStore {
  /** Writes a whole object; writing the same name again replaces it. */
  put(name: string, body: Uint8Array): Promise<void>;
  /** Begins an object of unknown size. */
  openUpload(name: string): Promise<ObjectUpload>;
  /** The object, or a range of it; undefined when there is none. */
  get(name: string, range?: ByteRange): Promise<Buffer | undefined>;
  /**
   * The object piece by piece; undefined when there is none. The iteration
   * throws StoreError when the store breaks off.
   */
  stream(
    name: string,
    range?: ByteRange,
  ): Promise<AsyncIterable<Buffer> | undefined>;
  /** Harmless when there is no such object. */
  delete(name: string): Promise<void>;
  /** Names that start with `prefix`, sorted, at most 1,000 after `after`. */
  list(prefix: string, after?: string): Promise<string[]>;
}

/** What is needed of a store for objects that fit into memory. */
export interface SmallObjects {
  put(name: string, body: Uint8Array): Promise<void>;
  get(name: string): Promise<Buffer | undefined>;
  delete(name: string): Promise<void>;
  list(prefix: string, after?: string): Promise<string[]>;
}
