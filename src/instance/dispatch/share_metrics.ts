/**
 * Metrics of how evenly the accounts of the pools are served for which this
 * instance decides.
 */
import type {Metrics} from '../../common/metrics.js';
import type {PoolTable} from './pool_table.js';

/** Creates the metrics; returns a function that updates them. */
export function createShareMetrics(
  metrics: Metrics,
  tables: readonly PoolTable[],
): () => void {
  const jain = metrics.createGauge(
    'dispatch_account_share_jain',
    "Jain's index of the served shares of accounts in the last 10 s, 0 to 1, of the least even pool",
  );
  const worstTenth = metrics.createGauge(
    'dispatch_account_worst_tenth',
    'Served share of the tenth of accounts served least in the last 10 s, of the worst pool',
  );
  return () => {
    const summaries = tables
      .flatMap(table => table.list())
      .map(({dispatcher}) => dispatcher.summarizeShares());
    jain.set(Math.min(1, ...summaries.map(each => each.jain)));
    worstTenth.set(Math.min(1, ...summaries.map(each => each.worstTenth)));
  };
}
