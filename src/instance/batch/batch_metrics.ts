/** Counters of batch. */
import type {Metrics} from '../../common/metrics.js';
import type {JobState} from './records.js';

/** Events of a segment on this instance. */
export type SegmentEvent =
  | 'claimed'
  | 'taken_over'
  | 'claim_lost'
  | 'done'
  | 'released'
  | 'lost'
  | 'crashed';

/** Events of an item on this instance. */
export type ItemEvent = 'begun' | 'succeeded' | 'failed' | 'retried';

/** Increments the counters of batch. */
export interface BatchMetrics {
  countItem(event: ItemEvent): void;
  countSegment(event: SegmentEvent): void;
  countJob(event: 'accepted' | JobState): void;
  countStoreFailure(): void;
}

export function createBatchMetrics(metrics: Metrics): BatchMetrics {
  const items = metrics.createCounter(
    'batch_items_total',
    'Batch items on this instance: begun, succeeded, failed, and tries that were repeated (retried).',
    ['event'],
  );
  const segments = metrics.createCounter(
    'batch_segments_total',
    'Segments on this instance: claimed, taken_over from an owner that is gone, claim_lost to another instance, done, released on shutdown, lost (job ended or lease over), crashed.',
    ['event'],
  );
  const jobs = metrics.createCounter(
    'batch_jobs_total',
    'Jobs accepted and ended by this instance.',
    ['event'],
  );
  const storeFailures = metrics.createCounter(
    'batch_store_failures_total',
    'Looks for batch work that the store gave no answer to.',
  );
  return {
    countItem: event => items.inc({event}),
    countSegment: event => segments.inc({event}),
    countJob: event => jobs.inc({event}),
    countStoreFailure: () => storeFailures.inc(),
  };
}
