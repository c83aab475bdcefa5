/** Tests the metrics of how evenly accounts are served. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSilentLog} from '../../common/log.js';
import {createMetrics} from '../../common/metrics.js';
import type {ShareSummary} from '../../decisions/account_shares.js';
import type {PoolTable} from './pool_table.js';
import {createShareMetrics} from './share_metrics.js';

function makeTable(...pools: Partial<ShareSummary>[]): PoolTable {
  const list = () =>
    pools.map(summary => ({
      name: 'pool',
      dispatcher: {summarizeShares: () => summary},
    }));
  return {list} as unknown as PoolTable;
}

describe('the metrics of shares', () => {
  // Guards against an uneven pool that is hidden behind an even one, and
  // against an instance in fallback dispatch that reports nothing.
  it('tell of the least even pool, also in fallback dispatch', async () => {
    const metrics = createMetrics();
    const own = makeTable({jain: 0.9, worstTenth: 0.5});
    const fallback = makeTable({jain: 0.7, worstTenth: 0.6});
    createShareMetrics(metrics, createSilentLog(), [own, fallback])();
    const text = await metrics.render();
    assert.match(text, /dispatch_account_share_jain 0\.7\n/);
    assert.match(text, /dispatch_account_worst_tenth 0\.5\n/);
  });

  it('are 1 on an instance that dispatches for no pool', async () => {
    const metrics = createMetrics();
    createShareMetrics(metrics, createSilentLog(), [makeTable()])();
    assert.match(await metrics.render(), /dispatch_account_share_jain 1\n/);
  });

  // Guards against a log line for every second of an overload.
  it('are logged once when accounts start and stop competing', () => {
    const lines: string[] = [];
    const log = createSilentLog();
    log.info = (...entry: unknown[]) => lines.push(String(entry[1])) > 0;
    const summary = {isCompeting: true, jain: 1, worstTenth: 1};
    const update = createShareMetrics(createMetrics(), log, [
      makeTable(summary),
    ]);
    update();
    update();
    summary.isCompeting = false;
    update();
    update();
    assert.deepEqual(lines, [
      'accounts compete for pool',
      'accounts stopped competing',
    ]);
  });
});
