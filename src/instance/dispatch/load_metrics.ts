/** Metrics of the loads that endpoints state in the heads of their responses. */
import type {Metrics} from '../../common/metrics.js';
import type {PaceObserver} from './pool_dispatcher.js';

const PACE_BUCKETS = [0.5, 0.8, 1.25, 2, 3, 5];

/** Creates the metrics, which have no label for the endpoint. */
export function createLoadMetrics(metrics: Metrics): {
  observePace: PaceObserver;
  noteUnreadableLoad: () => void;
} {
  const paces = metrics.createHistogram(
    'dispatch_endpoint_pace',
    'Paces that endpoints of pools dispatched here reported; 1 is usual.',
    PACE_BUCKETS,
  );
  const reports = metrics.createCounter(
    'dispatch_load_reports_total',
    'Loads in responses of endpoints: used in dispatch, contradicted by times to first byte and ignored, or unreadable.',
    ['result'],
  );

  return {
    observePace(pace, result) {
      paces.observe(pace);
      reports.inc({result});
    },
    noteUnreadableLoad: () => reports.inc({result: 'unreadable'}),
  };
}
