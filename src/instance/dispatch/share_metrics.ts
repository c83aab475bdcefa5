/**
 * Metrics and log of how the accounts of the pools share for which this
 * instance decides.
 */
import type {Log} from '../../common/log.js';
import type {Metrics} from '../../common/metrics.js';
import type {PoolTable} from './pool_table.js';

/** Creates the metrics; returns a function that updates them. */
export function createShareMetrics(
  metrics: Metrics,
  log: Log,
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
  let competing = new Set<string>();

  /** Logs changes; at most one a second for each pool. */
  function logChanges(next: ReadonlySet<string>) {
    for (const pool of next) {
      if (!competing.has(pool)) log.info({pool}, 'accounts compete for pool');
    }
    for (const pool of competing) {
      if (!next.has(pool)) log.info({pool}, 'accounts stopped competing');
    }
  }

  return () => {
    const pools = tables.flatMap(table => table.list());
    const summaries = pools.map(({name, dispatcher}) => ({
      name,
      ...dispatcher.summarizeShares(),
    }));
    jain.set(Math.min(1, ...summaries.map(each => each.jain)));
    worstTenth.set(Math.min(1, ...summaries.map(each => each.worstTenth)));
    const next = new Set(
      summaries.filter(each => each.isCompeting).map(({name}) => name),
    );
    logChanges(next);
    competing = next;
  };
}
