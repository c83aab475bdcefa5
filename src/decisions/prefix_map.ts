/**
 * Which prompt prefixes an endpoint probably has in its cache.
 *
 * Pattern of load: a few hot prefixes (templates of questions). Sent anywhere,
 * each endpoint prefills each template anew and pushes others out; remembered,
 * a question goes where its template is, unless that endpoint is busier than
 * the prefill would cost elsewhere (endpoint_choice weighs the two).
 *
 * What was sent counts as stored, since the engine's events come late. Events
 * correct it. A gap in their numbers means that evictions were missed: what has
 * not been used for PREFIX_DOUBT_MS is then forgotten, since least recently
 * used is what engines evict.
 */
import {LRUCache} from 'lru-cache';
import {
  MAX_BLOCKS_NOTED,
  MAX_PREFIXES,
  PREFIX_DOUBT_MS,
} from './scheduler_constants.js';
import type {CacheEvent} from './scheduler_types.js';

/** The cache of one endpoint as far as it is known. */
export interface PrefixMap {
  /** Share of a prompt that is cached, 0 to 1, by its leading blocks. */
  estimateCachedShare(prefixHashes: readonly string[], now: number): number;
  /** A prompt was sent there. */
  noteSent(prefixHashes: readonly string[], now: number): void;
  noteEvent(event: CacheEvent, now: number): void;
  count(): number;
}

/** Starts knowing nothing. */
export function createPrefixMap(): PrefixMap {
  const usedAt = new LRUCache<string, number>({max: MAX_PREFIXES});
  let lastSequence: number | undefined;
  let doubtBefore = -Infinity;

  const handlers: Record<
    CacheEvent['kind'],
    (hash: string, now: number) => void
  > = {
    stored: (hash, now) => usedAt.set(hash, now),
    evicted: hash => usedAt.delete(hash),
    cleared: () => usedAt.clear(),
  };

  function isTrusted(hash: string): boolean {
    const at = usedAt.peek(hash);
    return at !== undefined && at >= doubtBefore;
  }

  return {
    estimateCachedShare(prefixHashes) {
      let blocks = 0;
      while (blocks < prefixHashes.length && isTrusted(prefixHashes[blocks])) {
        blocks++;
      }
      return prefixHashes.length === 0 ? 0 : blocks / prefixHashes.length;
    },
    noteSent(prefixHashes, now) {
      for (const hash of prefixHashes.slice(0, MAX_BLOCKS_NOTED)) {
        usedAt.set(hash, now);
      }
    },
    noteEvent({sequence, kind, prefixHash}, now) {
      const isGap = lastSequence !== undefined && sequence > lastSequence + 1;
      if (isGap) doubtBefore = now - PREFIX_DOUBT_MS;
      lastSequence = Math.max(sequence, lastSequence ?? sequence);
      handlers[kind](prefixHash, now);
    },
    count: () => usedAt.size,
  };
}
