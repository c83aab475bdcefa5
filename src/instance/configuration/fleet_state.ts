/**
 * Documents and keys as one instance holds them, and what it passes on of them
 * to its peers. See changes.ts for why nothing in here goes back.
 */
import type {Change, DocumentChange, KeyChange, Update} from './changes.js';
import {REMEMBERED_CHANGES, UPDATE_PAGE_BYTES} from './constants.js';
import {
  parseServiceDocument,
  type ServiceDocument,
} from './service_document.js';

/** A document with its version in the table. */
export interface VersionedDocument {
  version: number;
  document: ServiceDocument;
}

/** A newer document that this instance could not read; the older stays. */
export interface DocumentRejection {
  service: string;
  version: number;
  message: string;
}

/** The state of one instance. */
export interface FleetState {
  getGeneration(): number;
  findDocument(service: string): VersionedDocument | undefined;
  listDocuments(): VersionedDocument[];
  findKey(keyHash: string): KeyChange | undefined;
  countKeys(): number;
  listRejections(): DocumentRejection[];
  /** Takes in changes; a lower generation than the one held changes nothing. */
  importUpdate(update: Update): void;
  /**
   * What brings another from generation `after` to this one, from place
   * `skip` on; `next` is the place to go on from.
   */
  exportUpdate(after: number, skip: number): Update & {next?: number};
}

/** Starts empty, at generation 0. */
export function createFleetState(): FleetState {
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
   * Only changes that follow on what is held have a generation each; after any
   * others, what came before cannot be told apart and all is passed on.
   */
  function recordSteps({generation: reached, from, changes}: Update) {
    if (reached <= generation) return;
    if (from !== generation) recent.length = 0;
    else {
      changes.forEach((change, at) =>
        recent.push({generation: from + at + 1, change}),
      );
    }
    recent.splice(0, recent.length - REMEMBERED_CHANGES);
  }

  /** The changes after a generation, one by one, while they are remembered. */
  function findSteps(after: number): Change[] | undefined {
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
      recordSteps(update);
      generation = Math.max(generation, update.generation);
    },
    exportUpdate(after, skip) {
      const steps = findSteps(after);
      const all = steps ?? [...texts.values(), ...keys.values()];
      const from = steps ? after : null;
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
