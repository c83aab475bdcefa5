/** Counters, gauges and histograms of one instance, based on prom-client. */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

/** Prefix of all metric names. */
const PREFIX = 'mulberry_';

/** Creates and collects the metrics of one instance. */
export interface Metrics {
  /** Creates a metric once per name; further calls return the same one. */
  createCounter(
    name: string,
    help: string,
    labels?: readonly string[],
  ): Counter;
  createGauge(name: string, help: string, labels?: readonly string[]): Gauge;
  /** `buckets` are in the unit that the name ends with. */
  createHistogram(
    name: string,
    help: string,
    buckets: readonly number[],
    labels?: readonly string[],
  ): Histogram;
  /** Renders all metrics in the Prometheus text format. */
  render(): Promise<string>;
  /** Lists names and help texts, for the check of the documentation. */
  list(): {name: string; help: string}[];
}

/**
 * Creates metrics with their own registry, not shared by instances in the
 * process.
 */
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
