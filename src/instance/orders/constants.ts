/** Constants of orders to engines. Times in ms. */

/** Partition of the row that names the orderer; its version is the fencing number. */
export const ORDERS_PARTITION = 'orders';
export const ORDERER_KEY = {partition: ORDERS_PARTITION, sort: 'orderer'};

/** Partition with one row for each endpoint: what it was ordered to be. */
export const PLACEMENTS_PARTITION = 'placements';

/** Pause between two rounds of orders. */
export const ORDERS_INTERVAL_MS = 5000;

/**
 * A new orderer waits so long before it gives an order to an engine that does
 * not refuse old fencing numbers. The last order of the one before was sent
 * while its lease was held, ended by its time-out of 5 s, and may sit in a
 * queue of the network or engine for about as long again.
 */
export const ORDER_SETTLE_MS = 15_000;

/**
 * Orders of one round that make engines fetch weights, over the whole fleet:
 * 48 a minute. A new version of a model on 400 endpoints takes eight minutes;
 * without a bound all would ask the rate-limited weight store at once, and
 * engines that start after a failure would wait behind them.
 */
export const WEIGHT_LOADS_PER_ROUND = 4;

/** Weight loads of one round in one pool: the others go on serving. */
export const WEIGHT_LOADS_PER_POOL = 1;

/** Records are read again so often, to find an engine that was ordered late. */
export const RECORDS_RELOAD_MS = 60_000;
