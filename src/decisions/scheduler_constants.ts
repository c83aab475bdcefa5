/**
 * Thresholds of the pool scheduler. Times in ms unless named otherwise. Each
 * module's header says what its thresholds guard; docs/design/dispatch.md has
 * the measurements that chose them.
 */

/** Requests of one class waiting in one pool, at the most: bounds memory. */
export const MAX_WAITING = 20_000;

/** Share of the time to its deadline that a request may wait for a slot. */
export const MAX_WAIT_SHARE = 0.4;
/** Longest answer predicted, in mean ones: callers' limits say little. */
export const LONGEST_ANSWER_MEANS = 2;

/** Least time a refused caller is told to stay away. */
export const MIN_RETRY_AFTER_MS = 500;
/** Longest time a refused caller is told to stay away. */
export const MAX_RETRY_AFTER_MS = 30_000;

/** Before anything was observed: a mid-range engine. */
export const INITIAL_LATENCY = {
  firstByteBaseMs: 30,
  prefillPerTokenMs: 0.1,
  onlineTotalMs: 2000,
  batchTotalMs: 4000,
};

/** Share that one observation keeps of what was known before. */
export const REGRESSION_MEMORY = 0.995;
/** Bound of one ratio in the pool's average. */
export const MAX_POOL_RATIO = 6;
/** An observation counts for at most this many times what was predicted. */
export const MAX_SURPRISE = 2;
/** Observations that the initial values count for. */
export const REGRESSION_PRIOR = 20;
/** Weight of one observation in simple averages. */
export const AVERAGE_GAIN = 0.1;

/** Prefill that may queue inside one engine; the rest waits where order rules. */
export const MAX_PREFILL_BACKLOG_MS = 150;
/** Between a first byte and its report here, at the most. */
export const REPORT_SLACK_MS = 40;
/** Delay that a running sequence adds to a new one's first token. */
export const RUNNING_COST_MS = 0.8;
/** Engine time of one answer token among others, to share out by. */
export const ANSWER_TOKEN_WORK_MS = 1;

/** Prefix blocks remembered for one endpoint. */
export const MAX_PREFIXES = 2048;
/** Leading blocks of a prompt that are remembered. */
export const MAX_BLOCKS_NOTED = 16;
/** After lost cache events, prefixes unused for this long count as gone. */
export const PREFIX_DOUBT_MS = 15_000;

/** First byte this many times later than predicted: the engine queued it. */
export const QUEUED_RATIO = 2.5;
/** And this much later, so that noise on short prompts does not count. */
export const QUEUED_EXCESS_MS = 150;
/** Times in a row that it is seen before it counts. */
export const QUEUED_IN_A_ROW = 2;
/** Share of the limit kept when an engine queues. */
export const LIMIT_DECREASE = 0.9;
/** Between two decreases: the evidence of the first must have come back. */
export const LIMIT_COOLDOWN_MS = 1000;
/** Least limit learned. */
export const MIN_LIMIT = 2;

/** An endpoint this many times slower than predicted gets no online work. */
export const SLOW_RATIO = 3;
/** Observations before an endpoint may be called slow. */
export const SLOW_OBSERVATIONS = 5;
/** Weight of one observation in an endpoint's slowness. */
export const SLOWNESS_GAIN = 0.25;
/** Failures in a row, without an answer between, that eject an endpoint. */
export const FAILURES_TO_EJECT = 3;
/** Silent requests in a row; one alone may be one broken connection. */
export const SILENCES_TO_EJECT = 2;
/** Expected gaps between two answers that pass before silence is suspected. */
export const SILENT_GAPS = 6;
/** Predicted times to the first byte that pass before silence is suspected. */
export const SILENT_FIRST_BYTES = 4;
/** Added to those gaps, for reports and pauses of the network. */
export const SILENT_SLACK_MS = 300;
/** First and longest time before an ejected endpoint is probed. */
export const FIRST_PROBE_MS = 1000;
export const LAST_PROBE_MS = 30_000;
/** Share of a pool that may be out at once; more is not the endpoints' fault. */
export const MAX_EJECTED_SHARE = 1 / 3;

/** A stopped item waits about so long for another slot while questions are many. */
export const TIGHT_SLACK_MS = 2000;
/** Pieces of an item's answer from which a run tells its pace. */
export const MIN_PIECES_SEEN = 10;
/** Batch items an endpoint starts with; each answer allows one more. */
export const BATCH_FIRST_ITEMS = 4;
/** Online demand looks back this far. */
export const DEMAND_WINDOW_MS = 1000;
/** From the order to make way until the slot is free, as a rule. */
export const YIELD_MS = 40;
/** A slot that is not free so long after the order is not waited for. */
export const YIELD_TIMEOUT_MS = 200;
/**
 * A waiting question is urgent when less than this is left until it must start
 * to be in time: an item makes way within YIELD_MS, and once more if its holder
 * is slow.
 */
export const YIELD_SLACK_MS = 150;
/** Against a batch item taking an endpoint's last slot: a question may want it. */
export const LAST_SLOT_COST_MS = 200;
/** A batch item may be sent this long before the prefill queue is empty. */
export const BATCH_LEAD_MS = 0;
/** Share of questions with time to wait from which that time is the buffer. */
export const PATIENT_SHARE = 0.8;
/** Slots for each endpoint that batch work leaves free for pressing questions. */
export const BATCH_HEADROOM = 1;
/** Free slots for each endpoint below which items yield to pressing questions. */
export const FREE_FLOOR = 0.25;
/** A burst shows within this time; a yielded slot is free again within it. */
export const BURST_WINDOW_MS = 40;
/** Times the usual rate of arrivals that make a burst. */
export const BURST_RATIO = 3;
/** Arrivals within BURST_WINDOW_MS that make a burst, at the least. */
export const MIN_BURST_ARRIVALS = 4;
/** No batch item starts for this long after a burst was seen. */
export const BURST_HOLD_MS = 200;
/** Share of endpoints that may be kept free of batch prefill, at the most. */
export const MAX_QUIET_SHARE = 0.34;
