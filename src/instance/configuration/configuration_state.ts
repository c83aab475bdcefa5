/**
 * The documents and keys that one instance has applied, and the updates that it
 * relays to peers. changes.ts explains why versions and key states never
 * revert.
 */
import type {
  Change,
  DocumentChange,
  KeyChange,
  ConfigurationUpdate,
} from './changes.js';
import {MAX_RECENT_CHANGES, UPDATE_PAGE_BYTES} from './constants.js';
import {
  parseServiceDocument,
  type ServiceDocument,
} from './service_document.js';

/** A document with its version in the table. */
export interface VersionedDocument {
  version: number;
  document: ServiceDocument;
}

/**
 * A newer document that this instance could not read. The older version stays
 * active.
 */
export interface DocumentRejection {
  service: string;
  version: number;
  message: string;
}

/** The configuration state of one instance. */
export interface ConfigurationState {
  getGeneration(): number;
  findDocument(service: string): VersionedDocument | undefined;
  listDocuments(): VersionedDocument[];
  findKey(keyHash: string): KeyChange | undefined;
  countKeys(): number;
  listRejections(): DocumentRejection[];
  /**
   * Applies changes. They are idempotent, and a generation lower than the
   * current one does not replace it.
   */
  importUpdate(update: ConfigurationUpdate): void;
  /**
   * Returns the changes that bring a peer from generation `after` to this one,
   * beginning at position `skip`. `next` is the position of the next part.
   */
  exportUpdate(
    after: number,
    skip: number,
  ): ConfigurationUpdate & {next?: number};
}

/** Creates an empty state at generation 0. */
export function createConfigurationState(): ConfigurationState {
  const documents = new Map<string, VersionedDocument>();
  const texts = new Map<string, DocumentChange>();
  const keys = new Map<string, KeyChange>();
  const rejections = new Map<string, DocumentRejection>();
  const recent: {generation: number; change: Change}[] = [];
  let generation = 0;

  function importDocument(change: DocumentChange) {
    const {service, version, text} = change;
    if ((texts.get(service)?.version ?? 0) >= version) return;
    texts.set(service, change);
    try {
      const document = parseServiceDocument(text, service);
      documents.set(service, {version, document});
      rejections.delete(service);
    } catch (error) {
      const {message} = error as Error;
      rejections.set(service, {service, version, message});
    }
  }

  function importKey(change: KeyChange) {
    if (keys.get(change.keyHash)?.state === 'withdrawn') return;
    keys.set(change.keyHash, change);
  }

  function importChange(change: Change) {
    if (change.kind === 'document') importDocument(change);
    else importKey(change);
  }

  /**
   * Records the generation of each change. This is possible only if the changes
   * directly follow the current generation. After any other update earlier
   * changes cannot be assigned to generations, so peers get the complete state.
   */
  function recordChanges({
    generation: reached,
    from,
    changes,
  }: ConfigurationUpdate) {
    if (reached <= generation) return;
    if (from !== generation) recent.length = 0;
    else {
      changes.forEach((change, at) =>
        recent.push({generation: from + at + 1, change}),
      );
    }
    recent.splice(0, recent.length - MAX_RECENT_CHANGES);
  }

  /**
   * The single changes after a generation, or undefined if not all of them are
   * recorded.
   */
  function findRecentChanges(after: number): Change[] | undefined {
    if (after >= generation) return [];
    const first = recent.at(0)?.generation ?? Infinity;
    if (first > after + 1) return undefined;
    return recent
      .filter(entry => entry.generation > after)
      .map(entry => entry.change);
  }

  return {
    getGeneration: () => generation,
    findDocument: service => documents.get(service),
    listDocuments: () => [...documents.values()],
    findKey: keyHash => keys.get(keyHash),
    countKeys: () => keys.size,
    listRejections: () => [...rejections.values()],
    importUpdate(update) {
      update.changes.forEach(importChange);
      recordChanges(update);
      generation = Math.max(generation, update.generation);
    },
    exportUpdate(after, skip) {
      const recentChanges = findRecentChanges(after);
      const all = recentChanges ?? [...texts.values(), ...keys.values()];
      const from = recentChanges ? after : null;
      const changes = takePage(all.slice(skip));
      const next = skip + changes.length;
      const hasMore = next < all.length;
      return {generation, from, changes, ...(hasMore && {next})};
    },
  };
}

function takePage(changes: Change[]): Change[] {
  let bytes = 0;
  const end = changes.findIndex((change, at) => {
    bytes += JSON.stringify(change).length;
    return at > 0 && bytes > UPDATE_PAGE_BYTES;
  });
  return end < 0 ? changes : changes.slice(0, end);
}
