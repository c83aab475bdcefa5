/** Constants of bundles. Times in ms, sizes in bytes. */

/**
 * Shards that bundles are spread over. One shard of the store takes 200
 * transactions a second, the whole store 800: with 16 no shard is the limit.
 */
export const BUNDLE_SHARDS = 16;

/** Items of one bundle, at the most. */
export const MAX_BUNDLE_ITEMS = 200;

/** Results committed in one transaction; each is a row beside the bundle's. */
export const MAX_RESULTS_PER_COMMIT = 40;

/** Bytes of text committed in one transaction; one takes 1 MB in base64. */
export const MAX_COMMIT_BYTES = 500_000;

/**
 * Longer items are kept as an object: a transaction takes 1 MB in base64. A
 * bundle of ten items has some 20 KB.
 */
export const MAX_ITEMS_IN_ROWS = 480_000;

/** A longer text is kept as an object: a row takes 64 KB in base64. */
export const MAX_TEXT_IN_ROW = 40_000;

/** Bytes of text in one answer to a reader, which may have 1 MB. */
export const MAX_PAGE_BYTES = 700_000;

/** Results read for one answer. */
export const MAX_PAGE_RESULTS = 50;

/** Finished items are collected for this long and committed together. */
export const COMMIT_DELAY_MS = 40;

/** Pause after a commit that the store did not answer. */
export const COMMIT_RETRY_MS = 300;

/** A held read looks this often whether there are new results. */
export const READ_POLL_MS = 400;

/** Open items whose slots an instance asks for or holds, at the most. */
export const MAX_ACTIVE_ITEMS = 48;

/** Looking for bundles whose owner is gone. */
export const ADOPT_INTERVAL_MS = 500;

/** An item that could not run is tried again after this; doubled each time. */
export const ITEM_RETRY_MS = 100;
export const ITEM_RETRY_MAX_MS = 1500;

/** Silence after which an item's stream is taken up at another endpoint. */
export const ITEM_SILENCE_MS = 2000;

/** Longest run of one item at one endpoint. */
export const ITEM_RUN_MS = 30_000;

/**
 * Views of the shared time differ by this at the most, the longest wait for an
 * answer of the store; an item's end of life is taken that much later, so that
 * none is given up early.
 */
export const TIME_ERROR_MS = 2000;

/** Tries of a change that others' commits get in the way of. */
export const MAX_CHANGE_TRIES = 6;

/** Longest handing over of bundles when the instance stops. */
export const HANDOVER_MS = 2500;

/** Rows and objects of a bundle that is not open are kept for this long. */
export const BUNDLE_RETENTION_MS = 240_000;

/** Looking for bundles that are past their retention. */
export const RETENTION_INTERVAL_MS = 30_000;

/** Bundles of an account on a route that its one row has room for: 60 KB. */
export const MAX_WAITING_BUNDLES = 500;

/** When a caller whose bundle did not fit may come back. */
export const FULL_RETRY_MS = 1000;

/** Open items an instance accepts more bundles with. */
export const MAX_OPEN_ITEMS = 4000;

/**
 * A bundle that may name this run of the process as its owner, the answer to the
 * write being lost, is looked for after this long, and again for a while: such a
 * write may take effect seconds later.
 */
export const UNWORKED_MS = 1500;
export const UNCLEAR_MEMORY_MS = 12_000;

/**
 * The owner of a bundle looks this often whether it still is that and the bundle
 * open, unless a commit has just shown it: the word of its end may be lost.
 */
export const CONFIRM_INTERVAL_MS = 1500;

/**
 * Progress of a bundle's items is kept after so many events: about a second of
 * work on three items, some 5 KB. An item has some 170 events.
 */
export const PROGRESS_EVENTS = 80;
