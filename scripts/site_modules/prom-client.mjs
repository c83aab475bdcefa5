/**
 * Exports only the parts of prom-client that an instance uses. The package's index also
 * loads a push gateway client, cluster support and process metrics.
 */
export {default as Registry} from 'prom-client/lib/registry.js';
export {default as Counter} from 'prom-client/lib/counter.js';
export {default as Gauge} from 'prom-client/lib/gauge.js';
export {default as Histogram} from 'prom-client/lib/histogram.js';
