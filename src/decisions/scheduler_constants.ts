/**
 * Thresholds of the pool scheduler. Times are in ms unless the name says
 * otherwise. The header of each module says what its thresholds protect
 * against.
 */

/**
 * Maximum number of waiting requests of one class in one pool; bounds memory.
 */
export const MAX_WAITING = 20_000;

/** Share of the time until its deadline that a request may wait for a slot. */
export const MAX_WAIT_SHARE = 0.4;
/**
 * Upper bound of the predicted answer time, as a multiple of the mean. Callers'
 * `max_tokens` say little about the real length of an answer.
 */
export const MAX_ANSWER_TIME_RATIO = 2;

/** Shortest retry delay returned to a refused caller. */
export const MIN_RETRY_AFTER_MS = 500;
/** Longest retry delay returned to a refused caller. */
export const MAX_RETRY_AFTER_MS = 30_000;

/** Estimates used before any observation; they describe a mid-range engine. */
export const INITIAL_LATENCY = {
  firstByteBaseMs: 30,
  prefillPerTokenMs: 0.1,
  onlineTotalMs: 2000,
  batchTotalMs: 4000,
};

/** Factor by which each new observation scales the weight of older ones. */
export const REGRESSION_DECAY = 0.995;
/** Upper bound of a single latency ratio in the pool's average. */
export const MAX_POOL_RATIO = 6;
/** Observations are clamped to this multiple of the predicted value. */
export const MAX_DEVIATION = 2;
/** Weight of the initial estimates, as a number of observations. */
export const REGRESSION_PRIOR = 20;
/** Weight of one observation in exponential moving averages. */
export const AVERAGE_GAIN = 0.1;

/**
 * Maximum prefill time queued inside one engine. The rest waits in the
 * scheduler's queues, where it can still be reordered.
 */
export const MAX_PREFILL_BACKLOG_MS = 150;
/** Longest delay between a first byte and its report to the dispatcher. */
export const REPORT_SLACK_MS = 40;
/** Delay that each running sequence adds to the first token of a new one. */
export const RUNNING_COST_MS = 0.8;
/**
 * Delay that each running sequence adds where endpoints report paces, as a share
 * of the idle time. With RUNNING_COST_MS, small differences of learned speeds
 * concentrated the requests on a few endpoints.
 */
export const PACED_RUNNING_SHARE = 0.15;
/**
 * Engine time of one answer token in a batch; the unit of cost for fair shares.
 */
export const ANSWER_TOKEN_WORK_MS = 1;

/** Maximum number of prefix blocks tracked for one endpoint. */
export const MAX_PREFIXES = 2048;
/** Number of leading blocks of a prompt that are tracked. */
export const MAX_TRACKED_BLOCKS = 16;
/** After lost cache events, prefixes unused for this long count as evicted. */
export const PREFIX_STALE_MS = 15_000;

/**
 * A first byte this many times later than predicted was queued by the engine.
 */
export const QUEUED_RATIO = 2.5;
/**
 * It must also be this much later, so that noise on short prompts is ignored.
 */
export const QUEUED_EXCESS_MS = 150;
/** Consecutive signs of queueing before the limit is lowered. */
export const MIN_QUEUED_SIGNS = 2;
/** Factor applied to the limit when an engine queues requests. */
export const LIMIT_DECREASE = 0.9;
/**
 * Minimum time between two decreases. Requests sent before the first decrease
 * must have ended, so that they do not count again.
 */
export const LIMIT_COOLDOWN_MS = 1000;
/** Smallest limit that can be learned. */
export const MIN_LIMIT = 2;

/** An endpoint this many times slower than predicted is ejected. */
export const SLOW_RATIO = 3;
/** Minimum number of observations before an endpoint counts as slow. */
export const SLOW_OBSERVATIONS = 5;
/** Weight of one observation in the average slowness of an endpoint. */
export const SLOWNESS_GAIN = 0.25;
/** Consecutive failures that eject an endpoint. */
export const FAILURES_TO_EJECT = 3;
/**
 * Consecutive silent requests that eject an endpoint. A single one may be
 * caused by one broken connection.
 */
export const SILENCES_TO_EJECT = 2;

/** Time for which an endpoint that refused a connection gets no work, in ms. */
export const UNREACHABLE_MS = 1000;
/** Number of expected gaps between answers before an endpoint is suspected. */
export const SILENT_GAPS = 6;
/**
 * Multiple of the predicted first-byte time before an endpoint is suspected.
 */
export const SILENT_FIRST_BYTES = 4;
/** Added to both of these timeouts, for report delays and network pauses. */
export const SILENT_SLACK_MS = 300;
/** Time until the first probe of an ejected endpoint. */
export const FIRST_PROBE_DELAY_MS = 1000;
/** Longest time between two probes of an ejected endpoint. */
export const MAX_PROBE_DELAY_MS = 30_000;
/**
 * Maximum share of a pool that may be ejected at once. If more endpoints look
 * bad, the cause is not the endpoints.
 */
export const MAX_EJECTED_SHARE = 1 / 3;

/** Typical wait of a stopped item for another slot under high online load. */
export const REQUEUE_WAIT_MS = 2000;
/** Minimum pieces of an item's answer in a run for its rate to be used. */
export const MIN_PIECES_FOR_RATE = 10;
/**
 * Initial number of batch items on an endpoint; each answer allows one more.
 */
export const INITIAL_BATCH_ITEMS = 4;
/** Averaging window of online demand. */
export const DEMAND_WINDOW_MS = 1000;
/** Typical time from a yield order until the slot is free. */
export const YIELD_MS = 40;
/**
 * Time after a yield order at which a slot still held is no longer waited for.
 */
export const YIELD_TIMEOUT_MS = 200;
/**
 * A waiting online request is urgent if it must start within this time to be in
 * time. An item yields within YIELD_MS; the rest covers a second yield if the
 * first holder is slow.
 */
export const YIELD_SLACK_MS = 150;
/**
 * Cost of giving a batch item the last free slot of an endpoint, since an
 * online request may need it.
 */
export const LAST_SLOT_COST_MS = 200;
/** Maximum prefill backlog of an endpoint to which a batch item is sent. */
export const MAX_BATCH_BACKLOG_MS = 0;
/**
 * From this share of online requests that can wait for a yield, the time that
 * they can wait replaces free slots as the buffer.
 */
export const DEFERRABLE_SHARE = 0.8;
/**
 * Slots per endpoint that batch work leaves free for urgent online requests.
 */
export const BATCH_HEADROOM = 1;
/**
 * Free slots per endpoint below which items yield to urgent online requests.
 */
export const FREE_SLOT_FLOOR = 0.25;
/**
 * Window for detecting a burst; a yielded slot is free again within this time.
 */
export const BURST_WINDOW_MS = 40;
/** Multiple of the usual arrival rate that counts as a burst. */
export const BURST_RATIO = 3;
/** Minimum number of arrivals within BURST_WINDOW_MS that counts as a burst. */
export const MIN_BURST_ARRIVALS = 4;
/** Time after a burst in which no batch item starts. */
export const BURST_PAUSE_MS = 200;
/** Maximum share of endpoints that are kept free of batch prefill. */
export const MAX_QUIET_SHARE = 0.34;

/**
 * Times after which a reported pace may have lost its correlation; the one that
 * predicts the next reports best is used, from the first one on.
 */
export const PACE_DECAYS_MS = [300, 60, 100, 180, 550, 1000, 1800, 3000];
/** Factor by which each report scales the weight of older prediction errors. */
export const PACE_ERROR_DECAY = 0.995;
/** Weight of one report in an endpoint's long-term pace. */
export const LONG_TERM_GAIN = 0.05;
/** Bounds of a reported pace, so that one wrong report is soon forgotten. */
export const MIN_PACE = 0.05;
export const MAX_PACE = 20;
/** Weight of one first byte in a learned speed, after the first ones. */
export const SPEED_GAIN = 0.1;
/** Bounds of a learned speed; beyond the upper one an endpoint is ejected. */
export const MIN_SPEED = 0.2;
export const MAX_SPEED = SLOW_RATIO;
/** Time without first bytes after which a learned speed counts half. */
export const SPEED_HALF_LIFE_MS = 60_000;
/** First bytes outside this ratio to the reported pace contradict it. */
export const CONTRADICTED_RATIO = 2;
/**
 * They must also be off by this much, so that delays of the network and of one
 * step of the engine do not count.
 */
export const CONTRADICTED_EXCESS_MS = 40;
/** Contradictions, less first bytes that agree, before reports are ignored. */
export const MAX_CONTRADICTIONS = 3;
/** First bytes after which paces are compared with predictions without them. */
export const MIN_COMPARED_FIRST_BYTES = 8;
/** Weight of one first byte in this comparison. */
export const COMPARISON_GAIN = 0.1;
/** Weight of one first byte in the comparison over the whole pool. */
export const POOL_COMPARISON_GAIN = 0.02;
/**
 * Paces whose squared logarithmic error is beyond this multiple of the error
 * without them are ignored; the slack covers first bytes that vary little.
 */
export const MAX_ERROR_RATIO = 2;
export const ERROR_SLACK = 0.05;
/** First time for which reports are ignored; it doubles with each repetition. */
export const IGNORE_REPORTS_MS = 5000;
/** Longest time for which reports are ignored. */
export const MAX_IGNORE_REPORTS_MS = 40_000;
/** Responses without a pace after which an endpoint counts as not reporting. */
export const MAX_MISSING_REPORTS = 5;

/**
 * Time after a refusal for overload in which accounts share by slots held. It
 * covers the low phase between two peaks of a load wave.
 */
export const COMPETITION_MS = 10_000;
/** Window of the served shares of accounts, and its number of slices. */
export const SERVED_WINDOW_MS = 10_000;
export const SERVED_SLICES = 10;
/**
 * An account served less than this share of what all are served goes first. It
 * is above a quarter, the share that is promised, because an account is seen to
 * be below it only after a refusal.
 */
export const SERVED_FLOOR = 0.4;
/** Requests of an account in the window from which its served share counts. */
export const MIN_FLOOR_REQUESTS = 4;
/**
 * Pools with fewer slots leave the last one to accounts that were served less
 * than the mean. In larger ones a slot is free again within a few ms.
 */
export const SMALL_POOL_SLOTS = 16;

/**
 * Share of its remaining time after which a refused caller returns at the latest.
 * The rest is for its wait and its answer.
 */
export const MAX_RETURN_SHARE = 0.5;
/** Longest time between two returns of refused callers of one account. */
export const MAX_SERVICE_INTERVAL_MS = 1000;
