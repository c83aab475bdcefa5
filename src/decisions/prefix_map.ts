/**
 * Estimates which prompt prefixes an endpoint has in its cache.
 *
 * Load pattern: a few hot prefixes, such as prompt templates. If requests are
 * sent to any endpoint, each endpoint prefills each template again and evicts
 * others. With this map a request goes to the endpoint that has its template,
 * unless waiting there costs more than prefilling elsewhere (endpoint_choice
 * compares the two).
 *
 * Prefixes of sent prompts count as stored, since the engine's cache events
 * come late. The events correct this. A gap in their sequence numbers means
 * that evictions were missed. Prefixes not used for PREFIX_STALE_MS then count
 * as evicted, since engines evict the least recently used ones.
 */
import {LRUCache} from 'lru-cache';
import {
  MAX_TRACKED_BLOCKS,
  MAX_PREFIXES,
  PREFIX_STALE_MS,
} from './scheduler_constants.js';
import type {CacheEvent} from './scheduler_types.js';

/** The estimated prefix cache of one endpoint. */
export interface PrefixMap {
  /**
   * Estimates the share of a prompt that is cached, 0 to 1, by leading blocks.
   */
  estimateCachedShare(prefixHashes: readonly string[], now: number): number;
  /** Records that a prompt was sent to the endpoint. */
  noteSent(prefixHashes: readonly string[], now: number): void;
  noteEvent(event: CacheEvent, now: number): void;
  count(): number;
}

/** Creates an empty map. */
export function createPrefixMap(): PrefixMap {
  const usedAt = new LRUCache<string, number>({max: MAX_PREFIXES});
  let lastSequence: number | undefined;
  let staleBefore = -Infinity;

  const handlers: Record<
    CacheEvent['kind'],
    (hash: string, now: number) => void
  > = {
    stored: (hash, now) => usedAt.set(hash, now),
    evicted: hash => usedAt.delete(hash),
    cleared: () => usedAt.clear(),
  };

  function isLikelyCached(hash: string): boolean {
    const at = usedAt.peek(hash);
    return at !== undefined && at >= staleBefore;
  }

  return {
    estimateCachedShare(prefixHashes) {
      let blocks = 0;
      while (
        blocks < prefixHashes.length &&
        isLikelyCached(prefixHashes[blocks])
      ) {
        blocks++;
      }
      return prefixHashes.length === 0 ? 0 : blocks / prefixHashes.length;
    },
    noteSent(prefixHashes, now) {
      for (const hash of prefixHashes.slice(0, MAX_TRACKED_BLOCKS)) {
        usedAt.set(hash, now);
      }
    },
    noteEvent({sequence, kind, prefixHash}, now) {
      const isGap = lastSequence !== undefined && sequence > lastSequence + 1;
      if (isGap) staleBefore = now - PREFIX_STALE_MS;
      lastSequence = Math.max(sequence, lastSequence ?? sequence);
      handlers[kind](prefixHash, now);
    },
    count: () => usedAt.size,
  };
}
