/** Constants of orders to engines. Times in ms. */

/**
 * Partition of the row that names the orderer. The row's version is the fencing
 * number.
 */
export const ORDERS_PARTITION = 'orders';
export const ORDERER_KEY = {partition: ORDERS_PARTITION, sort: 'orderer'};

/** Partition with one row per endpoint: what its engine was ordered to run. */
export const PLACEMENTS_PARTITION = 'placements';

/** Interval between two rounds of orders. */
export const ORDERS_INTERVAL_MS = 5000;

/**
 * A new orderer waits this long before it sends an order to an engine that does
 * not enforce fencing. The last order of the previous orderer was sent while
 * its lease was held and ended by its timeout of 5 s. It may stay in a queue of
 * the network or of the engine for about as long again.
 */
export const ORDER_SETTLE_TIME_MS = 15_000;

/**
 * Maximum number of orders per round that make engines fetch weights, over the
 * whole fleet: 48 per minute. A new model version on 400 endpoints takes eight
 * minutes. Without a limit all of them would send requests to the rate-limited
 * weight store at once, and engines that start after a failure would wait
 * behind them.
 */
export const WEIGHT_LOADS_PER_ROUND = 4;

/**
 * Maximum number of weight loads per round in one pool. Its other endpoints
 * continue to serve.
 */
export const WEIGHT_LOADS_PER_POOL = 1;

/**
 * Interval at which the records are read again, to find engines that a previous
 * orderer ordered late.
 */
export const RECORDS_RELOAD_INTERVAL_MS = 60_000;
