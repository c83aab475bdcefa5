/**
 * Ends the waits of requests that a new version of the routing document concerns.
 *
 * Failure: a request that waits for a slot learns of a new version only when it gets one.
 * Until then a caller whose route was removed waits for nothing, and one whose route was
 * moved waits for endpoints that it may not use although others are free.
 */
import {mergeSignals} from '../execution/linked_signal.js';
import type {RoutingTable} from '../routing/routing_table.js';

/** The waits of an instance. */
export interface RoutedWaits {
  /**
   * Runs `wait` until it ends or a new version comes for which `isOutdated` holds;
   * returns undefined then.
   */
  run<Result>(
    wait: (signal: AbortSignal) => Promise<Result>,
    signal: AbortSignal,
    isOutdated: () => boolean,
  ): Promise<Result | undefined>;
}

export function createRoutedWaits(
  routing: Pick<RoutingTable, 'subscribe'>,
): RoutedWaits {
  const rechecks = new Set<() => void>();
  routing.subscribe(() => {
    for (const recheck of rechecks) recheck();
  });

  return {
    async run(wait, signal, isOutdated) {
      const outdated = new AbortController();
      const merged = mergeSignals(signal, outdated.signal);
      const recheck = () => {
        if (isOutdated()) outdated.abort();
      };
      rechecks.add(recheck);
      try {
        return await wait(merged.signal);
      } catch (error) {
        if (!outdated.signal.aborted) throw error;
        return undefined;
      } finally {
        rechecks.delete(recheck);
        merged.close();
      }
    },
  };
}
