/** Constants of bundles. Times are in ms, sizes in bytes. */

/**
 * Number of shards that bundles are distributed over. One shard of the store
 * takes 200 transactions per second and the whole store 800. With 16 shards no
 * single shard is the bottleneck.
 */
export const BUNDLE_SHARDS = 16;

/** Maximum number of items in one bundle. */
export const MAX_BUNDLE_ITEMS = 200;

/**
 * Maximum number of results committed in one transaction. Each result is a row
 * in addition to the bundle's row.
 */
export const MAX_RESULTS_PER_COMMIT = 40;

/**
 * Maximum stored size of the texts in one transaction. The store accepts 1 MB of
 * base64 per transaction.
 */
export const MAX_COMMIT_BYTES = 500_000;

/**
 * Items whose JSON has a larger stored size are stored as an object, because a
 * transaction accepts 1 MB of base64. A bundle of 10 items has about 20 KB.
 */
export const MAX_ITEMS_IN_ROWS = 480_000;

/**
 * Texts with a larger stored size are stored as an object, because a row accepts 64 KB
 * of base64.
 */
export const MAX_TEXT_IN_ROW = 40_000;

/** Maximum size of the text of one item. A response with its result may have 1 MB. */
export const MAX_ITEM_TEXT_BYTES = 1_000_000;

/** Maximum size of the texts in one page of results. A response may have 1 MB. */
export const MAX_PAGE_BYTES = 700_000;

/** Maximum number of results in one page. */
export const MAX_PAGE_RESULTS = 50;

/** Results are collected for this long and committed together. */
export const COMMIT_DELAY_MS = 40;

/** Delay after a commit that the store did not respond to. */
export const COMMIT_RETRY_MS = 300;

/** Interval at which a long-polling read checks for new results. */
export const READ_POLL_INTERVAL_MS = 400;

/**
 * Time after the end of a long-polling read by which it is answered, whether or not the
 * store responds. Callers wait 1.5 s longer than they allow, which includes the network.
 */
export const READ_MARGIN_MS = 1300;

/** Maximum number of items for which an instance requests or holds slots. */
export const MAX_ACTIVE_ITEMS = 48;

/** Interval of the search for bundles whose owner is gone. */
export const ADOPT_INTERVAL_MS = 500;

/**
 * Initial and maximum delay before an item is retried, with exponential
 * backoff.
 */
export const ITEM_RETRY_MS = 100;
export const ITEM_RETRY_MAX_MS = 1500;

/**
 * Runs in a row without a new event after which a text starts again: no endpoint seems
 * able to go on with it.
 */
export const MAX_FRUITLESS_RUNS = 3;

/**
 * Retry delay of an item that needs more memory than any endpoint has. Only a new
 * configuration can change that.
 */
export const OVERSIZED_ITEM_RETRY_MS = 5000;

/**
 * Time without a route after which an item is given up: longer than it takes until the
 * next version of the configuration, which may have the route again, is in force on
 * all instances.
 */
export const MISSING_ROUTE_TIMEOUT_MS = 5000;

/**
 * Time without data after which an item's stream is resumed at another
 * endpoint. It counts from the tick in which the last data was delivered.
 */
export const ITEM_SILENCE_TIMEOUT_MS = 2000;

/** Maximum duration of one run of an item at one endpoint. */
export const MAX_ITEM_RUN_MS = 30_000;

/**
 * Maximum difference between the instances' readings of the shared time: the
 * longest wait for a response of the store. It is added to the time at which an
 * item expires, so that no item is given up early.
 */
export const MAX_TIME_ERROR_MS = 2000;

/**
 * Maximum attempts of a change that conflicts with commits of other instances.
 */
export const MAX_CHANGE_ATTEMPTS = 6;

/** Maximum duration of the handover of bundles when the instance stops. */
export const HANDOVER_TIMEOUT_MS = 2500;

/**
 * Time for which an owner that is leaving, and does not count as silent, may still hand
 * its bundles over: the notification of its peers, and the handover.
 */
export const LEAVING_OWNER_TIMEOUT_MS = 3500;

/** Retention of the rows and objects of a bundle that is not open. */
export const BUNDLE_RETENTION_MS = 240_000;

/** Interval of the search for bundles that are past their retention. */
export const RETENTION_INTERVAL_MS = 30_000;

/**
 * Maximum number of waiting bundles of an account on a route. They are stored
 * in one row of up to 60 KB.
 */
export const MAX_WAITING_BUNDLES = 500;

/** Delay after which a caller whose bundle did not fit may retry. */
export const FULL_RETRY_DELAY_MS = 1000;

/** Number of open items above which an instance refuses new bundles. */
export const MAX_OPEN_ITEMS = 4000;

/**
 * If the response to the write of a bundle is lost, the bundle may name this
 * incarnation as its owner, and so may a bundle that it takes over. The instance looks
 * for the bundle after UNCLEAR_CHECK_DELAY_MS, and repeats this until a read that begins
 * more than UNCLEAR_RETENTION_MS after the last such write shows that it is not the
 * owner, because such a write may take effect seconds later.
 */
export const UNCLEAR_CHECK_DELAY_MS = 1500;
export const UNCLEAR_RETENTION_MS = 12_000;

/**
 * Interval at which the owner of a bundle checks in the store that the bundle
 * is open and still its own, unless a commit has just shown it. The
 * notification that a bundle was ended may be lost.
 */
export const CONFIRM_INTERVAL_MS = 1500;

/**
 * Number of new events after which the progress of a bundle is stored: about 1
 * second of work on 3 items, about 5 KB. An item has about 170 events.
 */
export const PROGRESS_INTERVAL_EVENTS = 80;

/** Minimum time between two log lines about where the items of an overdue bundle are. */
export const OVERDUE_LOG_INTERVAL_MS = 5000;
