/** The platform's object store: whole immutable objects under names. */

/** The object store. All methods throw StoreError when it gives no answer. */
export interface ObjectStore {
  /** Writes a whole object; writing the same name again replaces it. */
  put(name: string, body: Uint8Array): Promise<void>;
  /** The object, or bytes `start` to `end` (exclusive) of it. */
  get(
    name: string,
    range?: {start: number; end: number},
  ): Promise<Buffer | undefined>;
  /** Harmless when there is no such object. */
  delete(name: string): Promise<void>;
  /** Names that start with `prefix`, sorted, at most 1,000 after `after`. */
  list(prefix: string, after?: string): Promise<string[]>;
}
