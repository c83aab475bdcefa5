/**
 * The feeds of one instance. Each feed tracks for itself whether the store is
 * reachable. The sentinel, which queries most often, wakes the other feeds
 * when its own state changes.
 */
import {
  startTableFeed,
  type FeedDependencies,
  type FeedListener,
  type FeedOptions,
  type FeedSource,
  type TableFeed,
} from './table_feed.js';

/** Manages one feed per table. */
export interface StoreFeeds {
  /** Starts to follow a table; the returned function stops it. */
  start<Row>(
    table: string,
    source: FeedSource<Row>,
    listener: FeedListener<Row>,
    options: FeedOptions,
  ): () => void;
  /** Time since which any feed has no response; undefined if all have one. */
  getUnreachableSince(): number | undefined;
  stop(): void;
}

export function createStoreFeeds(dependencies: FeedDependencies): StoreFeeds {
  const {clock} = dependencies;
  const feeds = new Map<string, TableFeed>();
  const unreachableSince = new Map<string, number>();

  /**
   * Tracks each feed separately: a response to one feed says nothing about the
   * data of the others. When a response to any feed counted for all, a
   * dispatcher granted slots of endpoints that had left.
   */
  function noteReachability(
    table: string,
    {role}: FeedOptions,
    isReachable: boolean,
  ) {
    const hasChanged = unreachableSince.has(table) === isReachable;
    if (!hasChanged) return;
    if (isReachable) unreachableSince.delete(table);
    else unreachableSince.set(table, clock.now());
    if (role === 'sentinel') wakeOtherFeeds(table);
  }

  /**
   * Makes the other feeds query again. A fault that made the sentinel's
   * connection silent may affect theirs, and calls sent before the store
   * recovered get no response.
   */
  function wakeOtherFeeds(sentinel: string) {
    for (const [table, feed] of feeds) {
      if (table !== sentinel) feed.wake();
    }
  }

  return {
    start(table, source, listener, options) {
      const feed = startTableFeed(
        dependencies,
        table,
        source,
        {
          ...listener,
          noteReachability: isReachable =>
            noteReachability(table, options, isReachable),
        },
        options,
      );
      feeds.set(table, feed);
      return () => {
        feed.stop();
        feeds.delete(table);
        unreachableSince.delete(table);
      };
    },
    getUnreachableSince: () =>
      unreachableSince.size > 0
        ? Math.min(...unreachableSince.values())
        : undefined,
    stop() {
      for (const feed of feeds.values()) feed.stop();
    },
  };
}
