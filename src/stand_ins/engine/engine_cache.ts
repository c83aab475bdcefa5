/**
 * The prefix cache of the engine stand-in. It has limited memory, exports and
 * imports entries, and publishes events, some of which can be lost.
 */
import {LRUCache} from 'lru-cache';
import type {EngineOptions} from './engine_options.js';

/** A change of the cache. `sequence` increases by 1; a gap means lost events. */
export interface EngineCacheEvent {
  sequence: number;
  kind: 'stored' | 'evicted' | 'cleared';
  prefixHash: string;
}

/** Maximum number of events stored for slow readers. */
const MAX_STORED_EVENTS = 1024;

/** The cache of one engine. */
export interface EngineCache {
  /** Stores prefixes; returns how many leading ones were already cached. */
  touch(prefixHashes: readonly string[]): number;
  export(prefixHash: string): Buffer | undefined;
  import(prefixHash: string, entry: Buffer): void;
  listEvents(after: number): EngineCacheEvent[];
  /** Returns the share of the memory in use, from 0 to 1. */
  computeUsage(): number;
  clear(): void;
}

/** Creates an empty cache. */
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
    if (events.length > MAX_STORED_EVENTS)
      events = events.slice(-MAX_STORED_EVENTS / 2);
  }

  function storeEntry(prefixHash: string, entry: Buffer) {
    const isNew = !entries.has(prefixHash);
    entries.set(prefixHash, entry);
    if (isNew) publishEvent('stored', prefixHash);
  }

  return {
    touch(prefixHashes) {
      const firstMissing = prefixHashes.findIndex(hash => !entries.has(hash));
      for (const hash of prefixHashes) {
        storeEntry(hash, entries.get(hash) ?? Buffer.from(`kv:${hash}`));
      }
      return firstMissing < 0 ? prefixHashes.length : firstMissing;
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
