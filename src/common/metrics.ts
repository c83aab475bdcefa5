/** Counters, gauges and histograms of one instance, by prom-client. */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

/** Prefix of every metric's name. */
const PREFIX = 'mulberry_';

/** Makes and collects the metrics of one instance. */
export interface Metrics {
  /** Made once for each name; asking again returns the same one. */
  createCounter(
    name: string,
    help: string,
    labels?: readonly string[],
  ): Counter;
  createGauge(name: string, help: string, labels?: readonly string[]): Gauge;
  /** `buckets` in the unit that the name ends in. */
  createHistogram(
    name: string,
    help: string,
    buckets: readonly number[],
    labels?: readonly string[],
  ): Histogram;
  /** All metrics in the Prometheus text format. */
  render(): Promise<string>;
  /** Names and help texts, for the documentation's check. */
  list(): {name: string; help: string}[];
}

/** One registry; instances in the same process do not share it. */
export function createMetrics(): Metrics {
  const registry = new Registry();
  const registers = [registry];

  function findMetric<Metric>(name: string): Metric | undefined {
    return registry.getSingleMetric(PREFIX + name) as Metric | undefined;
  }

  return {
    createCounter: (name, help, labelNames = []) =>
      findMetric<Counter>(name) ??
      new Counter({name: PREFIX + name, help, labelNames, registers}),
    createGauge: (name, help, labelNames = []) =>
      findMetric<Gauge>(name) ??
      new Gauge({name: PREFIX + name, help, labelNames, registers}),
    createHistogram: (name, help, buckets, labelNames = []) =>
      findMetric<Histogram>(name) ??
      new Histogram({
        name: PREFIX + name,
        help,
        buckets: [...buckets],
        labelNames,
        registers,
      }),
    render: () => registry.metrics(),
    list: () =>
      registry
        .getMetricsAsArray()
        .map(({name, help}) => ({name: String(name), help: String(help)})),
  };
}
