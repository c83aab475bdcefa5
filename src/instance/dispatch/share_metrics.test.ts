/** Tests the metrics of how evenly accounts are served. */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createMetrics} from '../../common/metrics.js';
import type {PoolTable} from './pool_table.js';
import {createShareMetrics} from './share_metrics.js';

function makeTable(...pools: {jain: number; worstTenth: number}[]): PoolTable {
  const list = () =>
    pools.map(summary => ({dispatcher: {summarizeShares: () => summary}}));
  return {list} as unknown as PoolTable;
}

describe('the metrics of shares', () => {
  // Guards against an uneven pool that is hidden behind an even one, and
  // against an instance in fallback dispatch that reports nothing.
  it('tell of the least even pool, also in fallback dispatch', async () => {
    const metrics = createMetrics();
    const own = makeTable({jain: 0.9, worstTenth: 0.5});
    const fallback = makeTable({jain: 0.7, worstTenth: 0.6});
    createShareMetrics(metrics, [own, fallback])();
    const text = await metrics.render();
    assert.match(text, /dispatch_account_share_jain 0\.7\n/);
    assert.match(text, /dispatch_account_worst_tenth 0\.5\n/);
  });

  it('are 1 on an instance that dispatches for no pool', async () => {
    const metrics = createMetrics();
    createShareMetrics(metrics, [makeTable()])();
    assert.match(await metrics.render(), /dispatch_account_share_jain 1\n/);
  });
});
