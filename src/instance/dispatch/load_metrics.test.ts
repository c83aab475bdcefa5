import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Log} from '../../common/log.js';
import {createMetrics} from '../../common/metrics.js';
import {createLoadMetrics} from './load_metrics.js';

describe('the metrics of stated loads', () => {
  it('count by result, and log only changes', async () => {
    // Guards against a log line for each response of an endpoint whose paces are
    // ignored.
    const lines: string[] = [];
    const log = {info: (_: object, line: string) => lines.push(line)};
    const metrics = createMetrics();
    const {observePace, noteUnreadableLoad} = createLoadMetrics(
      metrics,
      log as never as Log,
    );
    for (const result of [
      'used',
      'contradicted',
      'contradicted',
      'used',
    ] as const) {
      observePace('10.0.0.1:8000', 2.5, result);
    }
    noteUnreadableLoad();
    assert.deepEqual(lines, [
      'paces of endpoint contradicted and ignored',
      'paces of endpoint used again',
    ]);
    const rendered = await metrics.render();
    for (const [result, count] of [
      ['used', 2],
      ['contradicted', 2],
      ['unreadable', 1],
    ]) {
      const line = `dispatch_load_reports_total{result="${result}"} ${count}`;
      assert.ok(rendered.includes(line), line);
    }
    assert.ok(rendered.includes('dispatch_endpoint_pace_count 4'));
  });
});
