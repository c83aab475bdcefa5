/**
 * The prefix cache of an engine stand-in: limited memory, events that come
 * late and with gaps, export and import of entries.
 */
import {LRUCache} from 'lru-cache';
import type {EngineOptions} from './engine_options.js';

/** A change of the cache. `sequence` grows by 1; a gap means lost events. */
export interface EngineCacheEvent {
  sequence: number;
  kind: 'stored' | 'evicted' | 'cleared';
  prefixHash: string;
}

/** Events kept for readers that come late. */
const KEPT_EVENTS = 1024;

/** The cache of one engine. */
export interface EngineCache {
  /** Stores prefixes and returns how many leading ones were there. */
  touch(prefixHashes: readonly string[]): number;
  export(prefixHash: string): Buffer | undefined;
  import(prefixHash: string, entry: Buffer): void;
  listEvents(after: number): EngineCacheEvent[];
  /** Share of the memory in use, 0 to 1. */
  computeUsage(): number;
  clear(): void;
}

/** Starts empty. */
export function createEngineCache(options: EngineOptions): EngineCache {
  let events: EngineCacheEvent[] = [];
  let sequence = 0;
  const entries = new LRUCache<string, Buffer>({
    max: options.cachedPrefixes,
    dispose: (_entry, prefixHash, reason) => {
      if (reason === 'evict') publishEvent('evicted', prefixHash);
    },
  });

  function publishEvent(kind: EngineCacheEvent['kind'], prefixHash: string) {
    sequence++;
    const gap = options.cacheEventGap;
    if (gap > 0 && sequence % gap === 0) return;
    events.push({sequence, kind, prefixHash});
    if (events.length > KEPT_EVENTS) events = events.slice(-KEPT_EVENTS / 2);
  }

  function storeEntry(prefixHash: string, entry: Buffer) {
    const isNew = !entries.has(prefixHash);
    entries.set(prefixHash, entry);
    if (isNew) publishEvent('stored', prefixHash);
  }

  return {
    touch(prefixHashes) {
      const missing = prefixHashes.findIndex(hash => !entries.has(hash));
      for (const hash of prefixHashes) {
        storeEntry(hash, entries.get(hash) ?? Buffer.from(`kv:${hash}`));
      }
      return missing < 0 ? prefixHashes.length : missing;
    },
    export: prefixHash => entries.get(prefixHash),
    import: storeEntry,
    listEvents: after => events.filter(event => event.sequence > after),
    computeUsage: () => entries.size / options.cachedPrefixes,
    clear() {
      entries.clear();
      publishEvent('cleared', '');
    },
  };
}
