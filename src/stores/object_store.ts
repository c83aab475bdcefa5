/**
 * The platform's object store, which holds complete, immutable objects by name.
 */

/** Bytes `start` to `end` (exclusive) of an object. */
export interface ByteRange {
  start: number;
  end: number;
}

/**
 * Writes an object in pieces, so that it may be larger than an instance's
 * memory. The object is not visible before `complete`.
 */
export interface ObjectUpload {
  /** Appends a piece of any size; wait for each call before the next. */
  append(piece: Uint8Array): Promise<void>;
  /** Makes the pieces one object, which replaces any of that name. */
  complete(): Promise<void>;
  /** Discards the pieces; safe to call after `complete` or a failure. */
  cancel(): Promise<void>;
}

/**
 * The object store. All methods throw StoreError if it gives no usable
 * response.
 */
export interface ObjectStore {
  /** Writes a complete object; writing the same name again replaces it. */
  put(name: string, body: Uint8Array): Promise<void>;
  /** Starts the upload of an object of unknown size. */
  openUpload(name: string): Promise<ObjectUpload>;
  /** Returns the object or a range of it; undefined if there is none. */
  get(name: string, range?: ByteRange): Promise<Buffer | undefined>;
  /**
   * Returns the object in pieces; undefined if there is none. The iteration
   * throws StoreError if the store fails.
   */
  stream(
    name: string,
    range?: ByteRange,
  ): Promise<AsyncIterable<Buffer> | undefined>;
  /** Deletes an object; does nothing if there is none. */
  delete(name: string): Promise<void>;
  /**
   * Lists names that start with `prefix`, sorted, at most 1,000 after `after`.
   */
  list(prefix: string, after?: string): Promise<string[]>;
}

/**
 * The part of an object store that is needed for objects that fit into memory.
 */
export interface SmallObjectStore {
  put(name: string, body: Uint8Array): Promise<void>;
  get(name: string): Promise<Buffer | undefined>;
  delete(name: string): Promise<void>;
  list(prefix: string, after?: string): Promise<string[]>;
}
