/** What an instance uses of prom-client: its index loads a push gateway's client, clusters and process metrics too. */
'use strict';

module.exports = {
  Registry: require('prom-client/lib/registry.js'),
  Counter: require('prom-client/lib/counter.js'),
  Gauge: require('prom-client/lib/gauge.js'),
  Histogram: require('prom-client/lib/histogram.js'),
};
