/** Constants of configuration. Times in ms. */

/** Partition of the table that holds one row for each service document. */
export const CONFIGURATION_PARTITION = 'configuration';

/** Time between two looks at the table: a change is in force within seconds. */
export const POLL_INTERVAL_MS = 1000;
