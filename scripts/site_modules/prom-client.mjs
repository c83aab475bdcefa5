/** What an instance uses of prom-client: its index loads a push gateway's client, clusters and process metrics too. */
export {default as Registry} from 'prom-client/lib/registry.js';
export {default as Counter} from 'prom-client/lib/counter.js';
export {default as Gauge} from 'prom-client/lib/gauge.js';
export {default as Histogram} from 'prom-client/lib/histogram.js';
