/** Metrics and log lines of the loads that endpoints state in responses. */
import type {Log} from '../../common/log.js';
import type {Metrics} from '../../common/metrics.js';
import type {ReportResult} from '../../decisions/endpoint_pace.js';

/** Takes a pace that an endpoint reported, and whether it is used. */
export type PaceObserver = (
  endpoint: string,
  pace: number,
  result: ReportResult,
) => void;

/** Bounds the memory of endpoints that left while their paces were ignored. */
const MAX_LOGGED_ENDPOINTS = 1000;

const PACE_BUCKETS = [0.5, 0.8, 1.25, 2, 3, 5];

/** Creates the metrics, which have no label for the endpoint. */
export function createLoadMetrics(
  metrics: Metrics,
  log: Log,
): {
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

  /** Endpoints whose paces are ignored, each logged once. */
  const ignored = new Set<string>();

  function logChange(endpoint: string, pace: number, isUsed: boolean) {
    if (isUsed) {
      if (ignored.delete(endpoint))
        log.info({endpoint, pace}, 'paces of endpoint used again');
      return;
    }
    if (ignored.has(endpoint)) return;
    if (ignored.size === MAX_LOGGED_ENDPOINTS) ignored.clear();
    ignored.add(endpoint);
    log.info({endpoint, pace}, 'paces of endpoint contradicted and ignored');
  }

  return {
    observePace(endpoint, pace, result) {
      logChange(endpoint, pace, result === 'used');
      paces.observe(pace);
      reports.inc({result});
    },
    noteUnreadableLoad: () => reports.inc({result: 'unreadable'}),
  };
}
