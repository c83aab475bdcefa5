/**
 * The feeds of one instance. Each is lost and regained by itself, and the sentinel,
 * which is asked most often, has the others asked again when that changes.
 */
import {
  startTableFeed,
  type FeedDependencies,
  type FeedListener,
  type FeedOptions,
  type FeedSource,
  type TableFeed,
} from './table_feed.js';

/** Feeds by their tables. */
export interface StoreFeeds {
  /** Follows a table from now on; the returned function ends it. */
  start<Row>(
    table: string,
    source: FeedSource<Row>,
    listener: FeedListener<Row>,
    options: FeedOptions,
  ): () => void;
  /** Since when a feed has no answer; undefined if all have. */
  getLostAt(): number | undefined;
  stop(): void;
}

/** Starts without feeds. */
export function createStoreFeeds(dependencies: FeedDependencies): StoreFeeds {
  const {clock} = dependencies;
  const feeds = new Map<string, TableFeed>();
  const lostSince = new Map<string, number>();

  /**
   * Each feed by itself: an answer to one says nothing of what the others would
   * tell. A dispatcher that took itself for served by another feed's answer
   * granted slots of endpoints that had left.
   */
  function noteReach(table: string, {role}: FeedOptions, isReached: boolean) {
    const isNews = lostSince.has(table) === isReached;
    if (!isNews) return;
    if (isReached) lostSince.delete(table);
    else lostSince.set(table, clock.now());
    if (role === 'sentinel') askOthersAgain(table);
  }

  /**
   * What silenced the sentinel's connection may have silenced theirs, and what
   * they wait for since before the store came back will not come.
   */
  function askOthersAgain(sentinel: string) {
    for (const [table, feed] of feeds) {
      if (table !== sentinel) feed.askAgain();
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
          noteReach: isReached => noteReach(table, options, isReached),
        },
        options,
      );
      feeds.set(table, feed);
      return () => {
        feed.stop();
        feeds.delete(table);
        lostSince.delete(table);
      };
    },
    getLostAt: () =>
      lostSince.size > 0 ? Math.min(...lostSince.values()) : undefined,
    stop() {
      for (const feed of feeds.values()) feed.stop();
    },
  };
}
